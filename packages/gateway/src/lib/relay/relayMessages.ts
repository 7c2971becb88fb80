import type {
  RelayAnswer,
  RelayCommit,
  RelayPosition,
  RelayRoute,
  RelayStatement,
} from '@wisterialift/peer/relay';
import type { FailureReason, TransactionState, UpstreamAnswer } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Consistency, Route } from '../configuration/gatewayConfiguration';
import type { SequencedTime } from '../groups/groupContext';
import type { GroupSession, StatementRequest } from '../groups/statementRequest';
import { RelayMessageError } from '../errors/relayMessageError';

/** Operation of a relayed statement; `run` and `commit` belong to a transaction. */
export type RelayAction = 'read' | 'write' | 'run' | 'commit';

const ACTIONS: ReadonlySet<string> = new Set<RelayAction>(['read', 'write', 'run', 'commit']);

const LEVELS: ReadonlySet<string> = new Set<Consistency>([
  'primary',
  'boundedStaleness',
  'readYourWrites',
]);

const TRANSACTION_STATES: ReadonlySet<string> = new Set<TransactionState>([
  'idle',
  'open',
  'failed',
]);

const MAXIMUM_UINT32 = 2 ** 32 - 1;

/** Transaction of a relayed statement; its number is unique per stream. */
export interface RelayedTransaction {
  number: number;
  isFirst: boolean;
  isReadOnly: boolean;
}

/** @param options.now - monotonic time, in milliseconds. */
export function encodeStatement(
  request: StatementRequest,
  options: { action: RelayAction; transaction?: RelayedTransaction; now: number },
): RelayStatement {
  const { id, text, prepared, session, sessionState, route, configurationVersion, deadlineAt } =
    request;
  const { action, transaction, now } = options;
  return {
    action,
    transaction: transaction?.number ?? 0,
    isFirst: transaction?.isFirst ?? false,
    isReadOnly: transaction?.isReadOnly ?? false,
    id,
    text,
    prepared: prepared && { ...prepared.statement, argumentsText: prepared.argumentsText },
    values: [...sessionState.values].map(([name, value]) => ({ name, value })),
    sessionVersion: sessionState.version,
    lastCommit: encodeCommit(session.lastCommit, now),
    route: encodeRoute(route, configurationVersion),
    timeLeftMilliseconds: toUint32(deadlineAt - now),
    team: request.team ?? '',
  };
}

/** @throws RelayMessageError */
export function decodeAction({ action }: RelayStatement): RelayAction {
  if (!ACTIONS.has(action)) throw new RelayMessageError(`unknown relay action: ${action}`);
  return action as RelayAction;
}

/**
 * Converts a relayed statement into a request of this instance.
 *
 * @throws RelayMessageError
 */
export function decodeStatement(
  statement: RelayStatement,
  options: { arrivalStamp: SequencedTime },
): StatementRequest {
  const { id, text, prepared, values, sessionVersion, lastCommit, timeLeftMilliseconds } =
    statement;
  const { arrivalStamp } = options;
  const { route, version } = decodeRoute(statement);
  const session: GroupSession = {
    stateVersion: sessionVersion,
    lastCommit: decodeCommit(lastCommit, arrivalStamp.at),
  };
  return {
    id,
    text,
    prepared: prepared && {
      statement: {
        access: prepared.access === 'write' ? 'write' : 'read',
        shape: prepared.shape,
      },
      argumentsText: prepared.argumentsText,
    },
    session,
    sessionState: {
      version: sessionVersion,
      values: new Map(values.map(({ name, value }) => [name, value])),
    },
    team: statement.team === '' ? undefined : statement.team,
    route,
    configurationVersion: version,
    arrivalStamp,
    deadlineAt: arrivalStamp.at + timeLeftMilliseconds,
  };
}

function encodeRoute(route: Route, version: number): RelayRoute {
  const { database, group, consistency, maximumStaleness, timeout, goal, priority } = route;
  return {
    database,
    version,
    group,
    consistency,
    maximumStalenessMilliseconds: toUint32(maximumStaleness),
    timeoutMilliseconds: toUint32(timeout),
    goalMilliseconds: toUint32(goal),
    priority: toUint32(priority),
  };
}

/** @throws RelayMessageError */
export function decodeRoute({ route: sent }: RelayStatement): { route: Route; version: number } {
  if (!sent) throw new RelayMessageError('relayed statement has no route');
  const { database, version, group, consistency, priority } = sent;
  if (!LEVELS.has(consistency)) throw new RelayMessageError(`unknown consistency: ${consistency}`);
  const route: Route = {
    database,
    group,
    consistency: consistency as Consistency,
    maximumStaleness: sent.maximumStalenessMilliseconds,
    timeout: sent.timeoutMilliseconds,
    goal: sent.goalMilliseconds,
    priority,
  };
  return { route, version };
}

export function encodeAnswer(
  answer: UpstreamAnswer,
  options: { lastCommit: GroupSession['lastCommit']; now: number },
): RelayAnswer {
  const { lastCommit, now } = options;
  const isCompleted = answer.outcome === 'completed';
  return {
    isCompleted,
    rows: isCompleted ? answer.rows : [],
    signature: isCompleted ? answer.signature : '',
    reason: isCompleted ? '' : answer.reason,
    detail: isCompleted ? '' : answer.detail,
    transactionState: answer.transaction,
    position: answer.position,
    lastCommit: encodeCommit(lastCommit, now),
  };
}

/** @throws RelayMessageError */
export function decodeAnswer(sent: RelayAnswer): UpstreamAnswer {
  const { transactionState, rows, signature, reason, detail } = sent;
  if (!TRANSACTION_STATES.has(transactionState)) {
    throw new RelayMessageError(`unknown transaction state: ${transactionState}`);
  }
  const transaction = transactionState as TransactionState;
  const position = decodePosition(sent.position);
  if (sent.isCompleted) return { outcome: 'completed', rows, signature, transaction, position };
  return { outcome: 'refused', reason: reason as FailureReason, detail, transaction, position };
}

export function decodeCommit(
  sent: RelayCommit | undefined,
  now: number,
): GroupSession['lastCommit'] {
  const position = decodePosition(sent?.position);
  return sent && position && { position, seenAt: now - sent.ageMilliseconds };
}

function encodeCommit(commit: GroupSession['lastCommit'], now: number): RelayCommit | undefined {
  if (!commit) return undefined;
  const { position, seenAt } = commit;
  return { position, ageMilliseconds: toUint32(now - seenAt) };
}

function decodePosition(sent: RelayPosition | undefined): Position | undefined {
  return sent && { term: sent.term, index: sent.index };
}

/** Rounds a number to the nearest that a field can hold; any other would end the stream. */
function toUint32(value: number): number {
  return Math.min(MAXIMUM_UINT32, Math.max(0, Math.round(value)));
}
