import type { PreparedStatement } from '../statements/preparedStatement';
import type { UpstreamCommand } from '../statements/upstreamCommand';

/**
 * Variables of a caller's session, whichever connection serves it.
 *
 * Immutable, so that a statement runs with the variables of its arrival however long it waits.
 *
 * @public
 */
export interface SessionState {
  /** Number of changes since the session began. */
  readonly version: number;
  readonly values: ReadonlyMap<string, string>;
}

/** Variables and prepared statements that are set on one connection. @public */
export interface ConnectionState {
  values: Map<string, string>;
  /** Keys of the statements prepared on the connection. */
  preparedKeys: Set<string>;
}

/** A connection with more prepared statements is reset, to bound the memory of the database. */
const MAXIMUM_PREPARED_STATEMENTS = 200;

/** @public */
export function createSessionState(): SessionState {
  return { version: 0, values: new Map() };
}

/** Returns the state of the session after it has set a variable. @public */
export function setSessionValue(
  { version, values }: SessionState,
  name: string,
  value: string,
): SessionState {
  return { version: version + 1, values: new Map(values).set(name, value) };
}

/** @public */
export function createConnectionState(): ConnectionState {
  return { values: new Map(), preparedKeys: new Set() };
}

/** Key of a statement among the prepared ones; an access is one word, so no two statements share a key. */
function getStatementKey({ access, shape }: PreparedStatement): string {
  return `${access} ${shape}`;
}

/** Whether a statement is prepared on a connection. @public */
export function isPrepared(connection: ConnectionState, statement: PreparedStatement): boolean {
  return connection.preparedKeys.has(getStatementKey(statement));
}

/** Records that a connection may lack any prepared statement, so that each is prepared anew. @public */
export function forgetPreparedStatements(connection: ConnectionState): void {
  connection.preparedKeys.clear();
}

/**
 * Commands that bring a connection into the state that a statement needs.
 *
 * A variable that the session has not set can only be removed by a reset.
 *
 * @public
 */
export function planStateRestore(options: {
  session: SessionState;
  connection: ConnectionState;
  statement?: PreparedStatement;
}): UpstreamCommand[] {
  const { session, connection, statement } = options;
  const isResetRequired =
    hasExtraVariable(session, connection) ||
    connection.preparedKeys.size > MAXIMUM_PREPARED_STATEMENTS;
  const startingState = isResetRequired ? createConnectionState() : connection;
  const commands: UpstreamCommand[] = isResetRequired ? [{ type: 'reset' }] : [];
  for (const [name, value] of session.values) {
    if (startingState.values.get(name) !== value) commands.push({ type: 'set', name, value });
  }
  if (statement && !isPrepared(startingState, statement)) {
    commands.push({ type: 'prepare', statement });
  }
  return commands;
}

/** Applies a completed command of `planStateRestore` to the recorded connection state. @public */
export function applyStateCommand(connection: ConnectionState, command: UpstreamCommand): void {
  if (command.type === 'reset') {
    connection.values.clear();
    connection.preparedKeys.clear();
  }
  if (command.type === 'set') connection.values.set(command.name, command.value);
  if (command.type === 'prepare') connection.preparedKeys.add(getStatementKey(command.statement));
}

/**
 * Number of `reset` and `set` commands that give the connection the variables of the session.
 *
 * Ignores prepared statements.
 *
 * @public
 */
export function countVariableCommands(session: SessionState, connection: ConnectionState): number {
  let commandCount = hasExtraVariable(session, connection) ? 1 + session.values.size : 0;
  if (commandCount > 0) return commandCount;
  for (const [name, value] of session.values) {
    if (connection.values.get(name) !== value) commandCount += 1;
  }
  return commandCount;
}

function hasExtraVariable(session: SessionState, connection: ConnectionState): boolean {
  for (const name of connection.values.keys()) {
    if (!session.values.has(name)) return true;
  }
  return false;
}
