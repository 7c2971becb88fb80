import type { StatementAccess } from './callerStatement';

/** A statement that a caller prepared. @public */
export interface PreparedStatement {
  access: StatementAccess;
  /**
   * Identifies the statement, with its access; sessions that prepared the same share it on a connection.
   * Any text of the caller, so that a name on a connection must not be made of it.
   */
  shape: string;
}
