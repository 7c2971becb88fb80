import type { SqlJs, SqlJsStatement } from 'sql.js';
import { toDatabaseError } from './databaseError';
import type { SqlValue } from './sqlValue';
import { translateStatement } from './translateStatement';

/** Answer of one statement. */
export interface StatementAnswer {
  columns: string[];
  rows: SqlValue[][];
  affectedRows: number;
  insertId: number;
}

/** One copy of the data. */
export interface SqlCopy {
  /** @throws DatabaseError with MySQL's code; the statement then changed nothing. */
  run: (sql: string, parameters: readonly SqlValue[]) => StatementAnswer;
  columnsOf: (sql: string) => string[];
  close: () => void;
}

const REMEMBERED_STATEMENTS = 200;

/** Opens an empty copy of the data in memory. */
export function createSqlCopy(engine: SqlJs): SqlCopy {
  const database = new engine.Database();
  const prepared = new Map<string, SqlJsStatement>();
  const counters = {
    changes: database.prepare('SELECT total_changes()'),
    lastRow: database.prepare('SELECT last_insert_rowid()'),
  };

  function prepare(sql: string): SqlJsStatement {
    const known = prepared.get(sql);
    if (known) return known;
    if (prepared.size >= REMEMBERED_STATEMENTS) forgetAll();
    const statement = database.prepare(translateStatement(sql).sql);
    prepared.set(sql, statement);
    return statement;
  }

  function forgetAll(): void {
    prepared.forEach((statement) => statement.free());
    prepared.clear();
  }

  function run(sql: string, parameters: readonly SqlValue[]): StatementAnswer {
    const statement = guard(() => prepare(sql));
    try {
      const isRead = statement.getColumnNames().length > 0;
      const changesBefore = isRead ? 0 : readCounter(counters.changes);
      statement.bind(parameters);
      const rows: SqlValue[][] = [];
      while (statement.step()) rows.push(statement.get(null, { useBigInt: true }));
      if (isRead) {
        return { columns: statement.getColumnNames(), rows, affectedRows: 0, insertId: 0 };
      }
      const affectedRows = readCounter(counters.changes) - changesBefore;
      const isInsert = affectedRows > 0 && /^\s*(?:INSERT|REPLACE)/i.test(sql);
      const insertId = isInsert ? readCounter(counters.lastRow) : 0;
      return { columns: [], rows, affectedRows, insertId };
    } catch (error) {
      throw toDatabaseError(error);
    } finally {
      statement.reset();
    }
  }

  return {
    run,
    columnsOf: (sql) => guard(() => prepare(sql)).getColumnNames(),
    close: () => {
      forgetAll();
      database.close();
    },
  };
}

function guard<Result>(action: () => Result): Result {
  try {
    return action();
  } catch (error) {
    throw toDatabaseError(error);
  }
}

function readCounter(statement: SqlJsStatement): number {
  statement.step();
  const [value] = statement.get(null, { useBigInt: true });
  statement.reset();
  return Number(value);
}
