/** Whether a prepared statement reads or writes. @public */
export type StatementAccess = 'read' | 'write';

interface StatementBase {
  /** Identity that the caller gave; it travels to the database unchanged. */
  id: string;
  /** The statement as the caller wrote it; it travels to the database unchanged. */
  text: string;
}

/** One statement of a caller. @public */
export type CallerStatement =
  | (StatementBase & { type: 'begin'; isReadOnly: boolean })
  | (StatementBase & { type: 'commit' | 'rollback' | 'read' | 'write' | 'unknown' })
  | (StatementBase & { type: 'set'; name: string; value: string })
  | (StatementBase & { type: 'prepare'; name: string; access: StatementAccess; shape: string })
  | (StatementBase & { type: 'execute'; name: string; argumentsText: string })
  | (StatementBase & { type: 'deallocate'; name: string });
