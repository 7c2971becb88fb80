/** Whether a prepared statement reads or writes. @public */
export type StatementAccess = 'read' | 'write';

interface StatementBase {
  /** Identifier given by the caller, forwarded to the database unchanged. */
  id: string;
  /** Statement text as sent by the caller, forwarded to the database unchanged. */
  text: string;
}

/** A statement received from a caller. @public */
export type CallerStatement =
  | (StatementBase & { type: 'begin'; isReadOnly: boolean })
  /** `unknown` is text that is not a statement; it is refused. */
  | (StatementBase & { type: 'commit' | 'rollback' | 'read' | 'write' | 'unknown' })
  | (StatementBase & { type: 'set'; name: string; value: string })
  /** `shape` is that of `PreparedStatement`. */
  | (StatementBase & { type: 'prepare'; name: string; access: StatementAccess; shape: string })
  | (StatementBase & { type: 'execute'; name: string; argumentsText: string })
  | (StatementBase & { type: 'deallocate'; name: string });
