import type { StatementAccess } from '../statements/callerStatement';
import type { UpstreamCommand } from '../statements/upstreamCommand';

/** A statement that a caller prepared. @public */
export interface PreparedStatement {
  access: StatementAccess;
  shape: string;
}

/** What a caller set for its session; it holds whichever connection a statement runs on. @public */
export interface SessionState {
  values: Map<string, string>;
  prepared: Map<string, PreparedStatement>;
}

/** What was set on one connection. @public */
export interface ConnectionState {
  values: Map<string, string>;
  /** Names of the statements prepared there. */
  prepared: Set<string>;
}

/** Statements that a connection keeps prepared before it is reset; bounds the database's memory. */
const PREPARED_LIMIT = 200;

/** @public */
export function createSessionState(): SessionState {
  return { values: new Map(), prepared: new Map() };
}

/** @public */
export function createConnectionState(): ConnectionState {
  return { values: new Map(), prepared: new Set() };
}

/** Name of a prepared statement on a connection, the same for all sessions with that shape. @public */
export function sharedStatementName({ access, shape }: PreparedStatement): string {
  return `${access === 'read' ? 'r' : 'w'}_${shape}`;
}

/**
 * The commands that give a connection the state which a statement of the session needs.
 *
 * A value that the session does not have can only be removed by a reset of everything.
 *
 * @public
 */
export function planPreparation(options: {
  session: SessionState;
  connection: ConnectionState;
  statement?: PreparedStatement;
}): UpstreamCommand[] {
  const { session, connection, statement } = options;
  const needsReset =
    hasForeignValue(session, connection) || connection.prepared.size > PREPARED_LIMIT;
  const present = needsReset ? createConnectionState() : connection;
  const commands: UpstreamCommand[] = needsReset ? [{ type: 'reset' }] : [];
  for (const [name, value] of session.values) {
    if (present.values.get(name) !== value) commands.push({ type: 'set', name, value });
  }
  if (statement && !present.prepared.has(sharedStatementName(statement))) {
    commands.push({ type: 'prepare', name: sharedStatementName(statement), ...statement });
  }
  return commands;
}

/** Records on the connection's state what a command of `planPreparation` did. @public */
export function applyPreparation(connection: ConnectionState, command: UpstreamCommand): void {
  if (command.type === 'reset') {
    connection.values.clear();
    connection.prepared.clear();
  }
  if (command.type === 'set') connection.values.set(command.name, command.value);
  if (command.type === 'prepare') connection.prepared.add(command.name);
}

/** How many commands a session would need on a connection; connections with fewest go first. @public */
export function countDifferences(session: SessionState, connection: ConnectionState): number {
  let differences = hasForeignValue(session, connection) ? 1 + session.values.size : 0;
  if (differences > 0) return differences;
  for (const [name, value] of session.values) {
    if (connection.values.get(name) !== value) differences += 1;
  }
  return differences;
}

function hasForeignValue(session: SessionState, connection: ConnectionState): boolean {
  for (const name of connection.values.keys()) {
    if (!session.values.has(name)) return true;
  }
  return false;
}
