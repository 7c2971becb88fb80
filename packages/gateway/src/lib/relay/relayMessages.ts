import type {
  RelayAnswer,
  RelayCommit,
  RelayPosition,
  RelayRoute,
  RelayStatement,
} from '@wisterialift/peer/relay';
import type { FailureReason, TransactionState, UpstreamAnswer } from '@wisterialift/pooling';
import { createSessionState } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Consistency, Route } from '../configuration/gatewayConfiguration';
import type { VersionedRoute } from '../configuration/routeBook';
import type { AskedAt } from '../groups/groupContext';
import type { GroupSession, StatementRequest } from '../groups/statementRequest';
import { RelayMessageError } from '../errors/relayMessageError';

/** What a relayed statement is part of; `run` and `commit` belong to a transaction. */
export type RelayAction = 'read' | 'write' | 'run' | 'commit';

const ACTIONS: ReadonlySet<string> = new Set<RelayAction>(['read', 'write', 'run', 'commit']);

const CONSISTENCIES: ReadonlySet<string> = new Set<Consistency>([
  'primary',
  'boundedStaleness',
  'readYourWrites',
]);

const TRANSACTION_STATES: ReadonlySet<string> = new Set<TransactionState>([
  'idle',
  'open',
  'failed',
]);

/** Which transaction of the sender a statement belongs to. */
export interface RelayedTransaction {
  number: number;
  isFirst: boolean;
  isReadOnly: boolean;
}

/** @param now - steady time, in milliseconds. */
export function encodeStatement(
  request: StatementRequest,
  options: { action: RelayAction; transaction?: RelayedTransaction; now: number },
): RelayStatement {
  const { id, text, prepared, session, route, version, deadlineAt } = request;
  const { action, transaction, now } = options;
  return {
    action,
    transaction: transaction?.number ?? 0,
    isFirst: transaction?.isFirst ?? false,
    isReadOnly: transaction?.isReadOnly ?? false,
    id,
    text,
    prepared: prepared && { ...prepared.statement, argumentsText: prepared.argumentsText },
    values: Object.fromEntries(session.state.values),
    lastCommit: encodeCommit(session.lastCommit, now),
    route: encodeRoute({ database: route.database, version, route }),
    timeLeftMilliseconds: Math.max(0, Math.round(deadlineAt - now)),
  };
}

/** @throws RelayMessageError */
export function decodeAction({ action }: RelayStatement): RelayAction {
  if (!ACTIONS.has(action)) throw new RelayMessageError(`no action: ${action}`);
  return action as RelayAction;
}

/** Makes a request of this instance from a statement that another one sent. */
export function decodeStatement(
  statement: RelayStatement,
  options: { route: Route; version: number; arrived: AskedAt },
): StatementRequest {
  const { id, text, prepared, values, lastCommit, timeLeftMilliseconds } = statement;
  const { route, version, arrived } = options;
  const session: GroupSession = {
    state: { ...createSessionState(), values: new Map(Object.entries(values)) },
    lastCommit: decodeCommit(lastCommit, arrived.at),
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
    route,
    version,
    arrived,
    deadlineAt: arrived.at + timeLeftMilliseconds,
  };
}

export function encodeRoute({ database, version, route }: VersionedRoute): RelayRoute {
  return {
    database,
    version,
    group: route?.group ?? '',
    consistency: route?.consistency ?? '',
    maximumStalenessMilliseconds: Math.round(route?.maximumStaleness ?? 0),
    timeoutMilliseconds: Math.round(route?.timeout ?? 0),
    goalMilliseconds: Math.round(route?.goal ?? 0),
    priority: route?.priority ?? 0,
  };
}

/** @throws RelayMessageError */
export function decodeRoute(sent: RelayRoute | undefined): VersionedRoute {
  if (!sent) throw new RelayMessageError('a statement without a route');
  const { database, version, group, consistency, priority } = sent;
  if (group === '') return { database, version, route: undefined };
  if (!CONSISTENCIES.has(consistency)) throw new RelayMessageError(`no kind: ${consistency}`);
  const route: Route = {
    database,
    group,
    consistency: consistency as Consistency,
    maximumStaleness: sent.maximumStalenessMilliseconds,
    timeout: sent.timeoutMilliseconds,
    goal: sent.goalMilliseconds,
    priority,
  };
  return { database, version, route };
}

export function encodeAnswer(
  answer: UpstreamAnswer,
  options: { lastCommit: GroupSession['lastCommit']; newerRoute?: VersionedRoute; now: number },
): RelayAnswer {
  const { lastCommit, newerRoute, now } = options;
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
    route: newerRoute && encodeRoute(newerRoute),
  };
}

/** @throws RelayMessageError */
export function decodeAnswer(sent: RelayAnswer): UpstreamAnswer {
  const { transactionState, rows, signature, reason, detail } = sent;
  if (!TRANSACTION_STATES.has(transactionState)) {
    throw new RelayMessageError(`no state of a transaction: ${transactionState}`);
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
  return { position, ageMilliseconds: Math.max(0, Math.round(now - seenAt)) };
}

function decodePosition(sent: RelayPosition | undefined): Position | undefined {
  return sent && { term: sent.term, index: sent.index };
}
