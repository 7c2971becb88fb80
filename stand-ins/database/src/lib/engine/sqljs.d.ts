declare module 'sql.js' {
  export type SqlJsValue = number | bigint | string | Uint8Array | null;

  export interface SqlJsStatement {
    bind(parameters: readonly SqlJsValue[]): boolean;
    step(): boolean;
    get(parameters: null, config: { useBigInt: true }): SqlJsValue[];
    getColumnNames(): string[];
    reset(): boolean;
    free(): boolean;
  }

  export interface SqlJsDatabase {
    prepare(sql: string): SqlJsStatement;
    run(sql: string): SqlJsDatabase;
    getRowsModified(): number;
    close(): void;
  }

  export interface SqlJs {
    Database: new () => SqlJsDatabase;
  }

  // The package has a default export alone.
  // eslint-disable-next-line import-x/no-default-export
  export default function initSqlJs(options: { wasmBinary: Uint8Array }): Promise<SqlJs>;
}
