import { forgetPreparedStatements } from '@wisterialift/pooling';
import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import { NoConnectionError } from '../errors/noConnectionError';
import { settleWithTimeout } from '../timing/promiseTimeout';
import { prepareConnection } from './connectionPreparation';
import { createSequencedTime, logIfLeaving, observeAnswer } from './groupContext';
import type { SequencedTime, GroupContext } from './groupContext';
import { backOffFromMember } from './member';
import type { Member } from './member';
import { refuseStatement } from './refusals';
import { isWrite } from './statementRequest';
import type { StatementRequest } from './statementRequest';
import type { PooledConnection } from './upstreamPool';

/** Why a command was not sent. */
export type NotSentCause =
  | 'noConnection'
  | 'noCapacity'
  | 'notYet'
  | 'unreachable'
  | 'refused'
  | 'leaving'
  /** The statement was answered by another attempt. */
  | 'abandoned'
  /** The member was ejected while the statement waited for it. */
  | 'ejected';

/** How one attempt at a member ended. */
export type AttemptOutcome =
  | {
      type: 'answered';
      answer: UpstreamAnswer;
      sentStamp: SequencedTime;
      connection: PooledConnection;
    }
  /** The command was not sent. */
  | { type: 'notSent'; cause: NotSentCause }
  /** The command was sent, but no complete answer arrived. */
  | { type: 'lost'; cause: 'timeout' | 'broken' };

export interface AttemptOptions {
  request: StatementRequest;
  command: UpstreamCommand;
  deadlineAt: number;
  /** Milliseconds to wait for admission before reporting `notYet`; unlimited if omitted. */
  queueTimeout?: number;
  /** Whether the statement has been answered, so that the command must not be sent any more. */
  isAbandoned?: () => boolean;
  /** Whether the member has been ejected since it was chosen. */
  isEjected?: () => boolean;
  /** Called right before the command is sent. */
  onSend?: (connection: PooledConnection) => void;
}

/**
 * Runs one command at a member.
 *
 * If the outcome is `answered`, the caller of this function must release the connection.
 */
export async function attemptCommand(
  context: GroupContext,
  member: Member,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { request, command, queueTimeout } = options;
  const { admission } = member;
  const deadlineAt = context.leavingPolicy.limitDeadline(member, options.deadlineAt);
  const isAdmissionRequired = command.type !== 'begin';
  const queuedAt = context.clock.now();
  const { priority, goal } = request.route;
  // The start of a transaction is not ordered here and uses no credit.
  const orderedAt = isAdmissionRequired
    ? context.returnGuidance?.findOrderingTime(request)
    : undefined;
  const admissionRequest = {
    priority,
    goal,
    arrivedAt: orderedAt ?? request.arrivalStamp.at,
    deadlineAt,
    queueTimeout,
    team: request.team,
  };
  const admissionResult = isAdmissionRequired
    ? await admission.requestAdmission(admissionRequest)
    : 'admitted';
  if (admissionResult !== 'admitted') {
    return { type: 'notSent', cause: admissionResult === 'notYet' ? 'notYet' : 'noCapacity' };
  }
  try {
    return await attemptAdmitted(context, member, { ...options, queuedAt });
  } finally {
    if (isAdmissionRequired) admission.release(admissionRequest);
  }
}

async function attemptAdmitted(
  context: GroupContext,
  member: Member,
  options: AttemptOptions & { queuedAt: number },
): Promise<AttemptOutcome> {
  const { request, command, deadlineAt, queuedAt, onSend } = options;
  const { isAbandoned = () => false, isEjected = () => false } = options;
  if (isAbandoned()) return { type: 'notSent', cause: 'abandoned' };
  if (isEjected()) return { type: 'notSent', cause: 'ejected' };
  const sendDeadlineAt = context.leavingPolicy.limitDeadline(member, deadlineAt);
  const acquired = await acquireConnection(context, member, request, sendDeadlineAt);
  if ('type' in acquired) return acquired;
  const { connection, hasPrepared } = acquired;
  // Another attempt may have answered the statement while this one waited for its connection.
  if (isAbandoned()) {
    member.pool.release(connection);
    return { type: 'notSent', cause: 'abandoned' };
  }
  if (isEjected()) {
    member.pool.release(connection);
    return { type: 'notSent', cause: 'ejected' };
  }
  // The member may have reached its leaving time limit while the command was queued.
  if (!context.leavingPolicy.canAccept(member)) {
    member.pool.release(connection);
    return { type: 'notSent', cause: 'leaving' };
  }
  if (command.type !== 'begin') logIfLeaving(context, member, { requestId: request.id, queuedAt });
  const sentStamp = createSequencedTime(context);
  onSend?.(connection);
  const outcome = await runWithDeadline(context, { connection, command, deadlineAt });
  if (command.type !== 'begin') recordLatency(context, member, sentStamp, outcome);
  if (!isWrite(request)) {
    context.failureEjection.recordRun(member, { request, command, sentStamp, outcome });
  }
  if (outcome.type === 'lost') {
    member.pool.discard(connection);
    return outcome;
  }
  observeAnswer(context, member, sentStamp, outcome.answer);
  const answer = handleUnknownStatement(context, request, {
    connection,
    hasPrepared,
    answer: outcome.answer,
  });
  return { type: 'answered', answer, sentStamp, connection };
}

/** A connection in the state that a statement requires. */
interface PreparedConnection {
  connection: PooledConnection;
  /** Whether the statement has just been prepared on it. */
  hasPrepared: boolean;
}

async function acquireConnection(
  context: GroupContext,
  member: Member,
  request: StatementRequest,
  deadlineAt: number,
): Promise<PreparedConnection | AttemptOutcome> {
  const { sessionState: session } = request;
  const { priority } = request.route;
  let connection: PooledConnection;
  try {
    connection = await member.pool.acquire({
      session,
      owner: request.team,
      deadlineAt,
      priority,
    });
  } catch (error) {
    if (error instanceof NoConnectionError) return { type: 'notSent', cause: 'noConnection' };
    backOffFromMember(member, context.clock.now());
    return { type: 'notSent', cause: 'unreachable' };
  }
  const preparation = await prepareConnection(context, member, { connection, request, deadlineAt });
  if (preparation.type === 'ready') return { connection, hasPrepared: preparation.hasPrepared };
  if (preparation.type === 'refused' && preparation.isFinal) {
    const { answer } = preparation;
    return { type: 'answered', answer, sentStamp: createSequencedTime(context), connection };
  }
  member.pool.discard(connection);
  return { type: 'notSent', cause: 'refused' };
}

/**
 * Handles a member that does not know a statement which its connection is recorded to have: the
 * statement is prepared again, or refused if it had just been prepared, since another attempt would end alike.
 *
 * @returns the answer to go on with.
 */
export function handleUnknownStatement(
  context: GroupContext,
  request: StatementRequest,
  options: { connection: PooledConnection; hasPrepared: boolean; answer: UpstreamAnswer },
): UpstreamAnswer {
  const { connection, hasPrepared, answer } = options;
  const isUnknown = answer.outcome === 'refused' && answer.reason === 'unknownStatement';
  if (!isUnknown) return answer;
  forgetPreparedStatements(connection.state);
  if (!hasPrepared) return answer;
  const { position } = answer;
  const transaction = answer.transaction === 'open' ? 'failed' : answer.transaction;
  const detail = 'the member does not know a statement that it has just prepared';
  return { ...refuseStatement(context, request, 'aborted', detail), transaction, position };
}

/**
 * Records the response time of a member, including network and its own queue, and how the statement
 * ended.
 *
 * Excludes the wait for a connection: a brief shortage would divert reads from an idle member.
 */
export function recordLatency(
  { clock }: GroupContext,
  member: Member,
  sentStamp: SequencedTime,
  outcome: { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost' },
): void {
  const statements = member.admission.countStatements();
  member.concurrency.recordOutcome({ sentAt: sentStamp.at, outcome, statements });
  const hasExecuted = outcome.type === 'lost' || outcome.answer.outcome === 'completed';
  if (!hasExecuted) return;
  member.latency.record(clock.now() - sentStamp.at, clock.now());
}

/** Runs a command and stops waiting for its answer at the deadline. */
export async function runWithDeadline(
  context: GroupContext,
  options: { connection: PooledConnection; command: UpstreamCommand; deadlineAt: number },
): Promise<
  { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost'; cause: 'timeout' | 'broken' }
> {
  const { connection, command, deadlineAt } = options;
  const { clock } = context;
  const running = connection.upstream.run(command);
  const settled = await settleWithTimeout(clock, running, deadlineAt - clock.now());
  if (settled.type === 'value') return { type: 'answered', answer: settled.value };
  return { type: 'lost', cause: settled.type === 'timeout' ? 'timeout' : 'broken' };
}
