import type { PreparedDescription, SqlBytes } from '@wisterialift/mysql';

/** Cache of the parameter and column definitions of prepared statements, by SQL text. @internal */
export interface PreparedDescriptionCache {
  get: (sql: SqlBytes) => PreparedDescription | undefined;
  add: (sql: SqlBytes, description: PreparedDescription) => void;
  /** Called when a statement that may change the schema is submitted. */
  clear: () => void;
}

const MAXIMUM_DESCRIPTIONS = 1_000;

/**
 * Creates a cache that evicts its oldest entry when full. It saves a database round trip for each
 * prepare command, since some drivers prepare a statement for every call.
 *
 * @internal
 */
export function createPreparedDescriptionCache(): PreparedDescriptionCache {
  const descriptions = new Map<SqlBytes, PreparedDescription>();
  return {
    get: (sql) => descriptions.get(sql),
    add: (sql, description) => {
      descriptions.set(sql, description);
      if (descriptions.size <= MAXIMUM_DESCRIPTIONS) return;
      const [oldest] = descriptions.keys();
      if (oldest !== undefined) descriptions.delete(oldest);
    },
    clear: () => descriptions.clear(),
  };
}
