import type { SqlJs } from 'sql.js';
import type { LoggedStatement } from '../log/createLog';
import { createSqlCopy } from './createSqlCopy';
import type { StatementAnswer } from './createSqlCopy';
import { fromLoggedValue } from './sqlValue';
import type { SqlValue } from './sqlValue';

/**
 * The data of one database: a committed copy that reads see, and a scratch copy on which the one
 * writing transaction runs.
 */
export interface Engine {
  /** Runs a read on the committed copy. */
  read: (sql: string, parameters: readonly SqlValue[]) => StatementAnswer;
  /** Runs a statement of the writing transaction. */
  runOnScratch: (sql: string, parameters: readonly SqlValue[]) => StatementAnswer;
  begin: () => void;
  rollback: () => void;
  /** Makes the writing transaction part of the committed copy. */
  commit: (statements: readonly LoggedStatement[]) => void;
  /** Applies a replicated entry to both copies. */
  apply: (statements: readonly LoggedStatement[]) => void;
  columnsOf: (sql: string) => string[];
  /** Empties both copies, before the log is applied again from its start. */
  clear: () => void;
}

/** Opens empty data. */
export function createEngine(sqlEngine: SqlJs): Engine {
  let committed = createSqlCopy(sqlEngine);
  let scratch = createSqlCopy(sqlEngine);

  function runAll(copy: typeof committed, statements: readonly LoggedStatement[]): void {
    if (statements.length === 0) return;
    copy.run('BEGIN', []);
    statements.forEach(({ sql, parameters }) => copy.run(sql, parameters.map(fromLoggedValue)));
    copy.run('COMMIT', []);
  }

  return {
    read: (sql, parameters) => committed.run(sql, parameters),
    runOnScratch: (sql, parameters) => scratch.run(sql, parameters),
    begin: () => {
      scratch.run('BEGIN', []);
    },
    rollback: () => {
      scratch.run('ROLLBACK', []);
    },
    commit: (statements) => {
      scratch.run('COMMIT', []);
      runAll(committed, statements);
    },
    apply: (statements) => {
      runAll(scratch, statements);
      runAll(committed, statements);
    },
    columnsOf: (sql) => committed.columnsOf(sql),
    clear: () => {
      committed.close();
      scratch.close();
      committed = createSqlCopy(sqlEngine);
      scratch = createSqlCopy(sqlEngine);
    },
  };
}
