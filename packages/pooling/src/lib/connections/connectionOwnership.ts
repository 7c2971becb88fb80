import { chooseNextStatement } from '../routing/chooseNextStatement';
import type { QueuedStatement } from '../routing/chooseNextStatement';

/**
 * Whose statements a connection runs: those of one team, named when it is opened, or those of callers
 * without a team if undefined.
 *
 * @public
 */
export type ConnectionOwner = string | undefined;

/** What a statement or a control command requires of its connection. @public */
export interface ConnectionNeed {
  owner: ConnectionOwner;
  /** Whether it may run on a connection of any owner, as control commands may. */
  acceptsAnyOwner?: boolean;
}

/** Whether a connection may run the statement. @public */
export function canUseConnection(
  { owner, acceptsAnyOwner = false }: ConnectionNeed,
  connection: { owner: ConnectionOwner },
): boolean {
  return acceptsAnyOwner || owner === connection.owner;
}

/**
 * Longest time by which a statement overtakes an older one of another team because a connection of its
 * own team has become idle.
 */
const MAXIMUM_OVERTAKING_MILLISECONDS = 50;

/**
 * Chooses the waiting statement that takes over a released connection.
 *
 * Prefers statements of the connection's team, since any other needs a new connection, but only within a
 * bound: otherwise a busy team would keep its connections while the others wait.
 *
 * @returns undefined if none can use it, or if it must be closed to open another team's connection.
 * @public
 */
export function chooseWaitingStatement<Statement extends QueuedStatement & ConnectionNeed>(
  waiting: readonly Statement[],
  connection: { owner: ConnectionOwner },
): Statement | undefined {
  const next = chooseNextStatement(waiting);
  const nextOfOwner = chooseNextStatement(
    waiting.filter((statement) => canUseConnection(statement, connection)),
  );
  if (!next || !nextOfOwner) return undefined;
  const isOverdue =
    next.priority < nextOfOwner.priority ||
    nextOfOwner.arrivedAt - next.arrivedAt > MAXIMUM_OVERTAKING_MILLISECONDS;
  return isOverdue && next !== nextOfOwner ? undefined : nextOfOwner;
}

/**
 * Waiting statements for which no connection is being opened yet, in the order in which connections
 * should be opened for them.
 *
 * @param opening - owners of the connections that are being opened.
 * @public
 */
export function findUncoveredStatements<Statement extends QueuedStatement & ConnectionNeed>(
  waiting: readonly Statement[],
  opening: readonly ConnectionOwner[],
): Statement[] {
  const available = [...opening];
  const uncovered: Statement[] = [];
  const ordered = [...waiting].sort(
    (left, right) => left.priority - right.priority || left.arrivedAt - right.arrivedAt,
  );
  for (const statement of ordered) {
    const index = available.findIndex((owner) => canUseConnection(statement, { owner }));
    if (index === -1) uncovered.push(statement);
    else available.splice(index, 1);
  }
  return uncovered;
}
