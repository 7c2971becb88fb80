import type {
  RelayAnswer,
  RelayCommit,
  RelayPosition,
  RelayRoute,
  RelayStatement,
} from '@wisterialift/peer/relay';
import type {
  FailureReason,
  StatementAccess,
  TransactionState,
  UpstreamAnswer,
} from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Consistency, Route } from '../configuration/gatewayConfiguration';
import type { SequencedTime } from '../groups/groupContext';
import type { GroupSession, StatementRequest } from '../groups/statementRequest';
import { RelayMessageError } from '../errors/relayMessageError';

/** Operation of a relayed statement; `run` and `commit` belong to a transaction. */
export type RelayAction = 'read' | 'write' | 'run' | 'commit';

const ACTIONS = new Set<RelayAction>(['read', 'write', 'run', 'commit']);

const LEVELS = new Set<Consistency>(['primary', 'boundedStaleness', 'readYourWrites']);

const ACCESSES = new Set<StatementAccess>(['read', 'write']);

const TRANSACTION_STATES = new Set<TransactionState>(['idle', 'open', 'failed']);

/** An object, so that the compiler finds a reason that is missing. */
const REASON_NAMES: Record<FailureReason, true> = {
  busy: true,
  lagging: true,
  readOnly: true,
  wrongMember: true,
  tooManyConnections: true,
  unknownStatement: true,
  aborted: true,
  failed: true,
  timeout: true,
  unknownOutcome: true,
  malformed: true,
  unknownDatabase: true,
  unauthenticated: true,
};

const REASONS = new Set(Object.keys(REASON_NAMES) as FailureReason[]);

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
  return decodeOneOf(ACTIONS, action, 'relay action');
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
        access: decodeOneOf(ACCESSES, prepared.access, 'access'),
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
  const route: Route = {
    database,
    group,
    consistency: decodeOneOf(LEVELS, consistency, 'consistency'),
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
  const { rows, signature, detail } = sent;
  const transaction = decodeOneOf(TRANSACTION_STATES, sent.transactionState, 'transaction state');
  const position = decodePosition(sent.position);
  if (sent.isCompleted) return { outcome: 'completed', rows, signature, transaction, position };
  const reason = decodeOneOf(REASONS, sent.reason, 'failure reason');
  return { outcome: 'refused', reason, detail, transaction, position };
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

function decodeOneOf<Value extends string>(
  values: ReadonlySet<Value>,
  text: string,
  field: string,
): Value {
  const isKnown = (value: string): value is Value => (values as ReadonlySet<string>).has(value);
  if (!isKnown(text)) throw new RelayMessageError(`unknown ${field}: ${text}`);
  return text;
}
