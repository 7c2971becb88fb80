import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import { NoConnectionError } from '../errors/noConnectionError';
import { settleWithin } from '../timing/withinTime';
import { markAsked, noteLeaving, observeAnswer } from './groupContext';
import type { AskedAt, GroupContext } from './groupContext';
import { avoidMember } from './member';
import type { Member } from './member';
import type { StatementRequest } from './statementRequest';
import { prepareConnection } from './upstreamPool';
import type { PooledConnection } from './upstreamPool';

/**
 * Why nothing was sent: no connection in time, no turn in time, no turn yet, no answer to a new
 * connection, a connection that could not be prepared, or a member that has left its bound behind.
 */
export type NotSentCause =
  'noConnection' | 'noCapacity' | 'notYet' | 'unreachable' | 'refused' | 'leaving';

/** How one attempt at a member ended. */
export type AttemptOutcome =
  | { type: 'answered'; answer: UpstreamAnswer; asked: AskedAt; connection: PooledConnection }
  /** Nothing was sent. */
  | { type: 'notSent'; cause: NotSentCause }
  /** It was sent, and no whole answer came. */
  | { type: 'lost'; cause: 'timeout' | 'broken' };

export interface AttemptOptions {
  request: StatementRequest;
  command: UpstreamCommand;
  deadlineAt: number;
  /** Milliseconds to wait for a turn before the statement would rather look elsewhere. */
  patience?: number;
}

/**
 * Runs one command of a caller at a member.
 *
 * The connection of an answered attempt belongs to the caller of this function; any other is closed
 * or back in the pool.
 */
export async function attempt(
  context: GroupContext,
  member: Member,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { request, command, patience } = options;
  const { gate } = member;
  const deadlineAt = context.leaving.sendBy(member, options.deadlineAt);
  const takesSlot = command.type !== 'begin';
  const placedAt = context.clock.now();
  const { priority, goal } = request.route;
  const passage = { priority, goal, arrivedAt: request.arrived.at, deadlineAt, patience };
  const admission = takesSlot ? await gate.enter(passage) : 'admitted';
  if (admission !== 'admitted') {
    return { type: 'notSent', cause: admission === 'notYet' ? 'notYet' : 'noCapacity' };
  }
  try {
    return await attemptNow(context, member, { ...options, placedAt });
  } finally {
    if (takesSlot) gate.leave(passage);
  }
}

async function attemptNow(
  context: GroupContext,
  member: Member,
  options: AttemptOptions & { placedAt: number },
): Promise<AttemptOutcome> {
  const { request, command, deadlineAt, placedAt } = options;
  const sendBy = context.leaving.sendBy(member, deadlineAt);
  const acquired = await acquireConnection(context, member, request, sendBy);
  if ('type' in acquired) return acquired;
  // It may have waited since it was placed, and the member's bound may have passed meanwhile.
  if (!context.leaving.mayTake(member)) {
    member.pool.release(acquired);
    return { type: 'notSent', cause: 'leaving' };
  }
  if (command.type !== 'begin') noteLeaving(context, member, { requestId: request.id, placedAt });
  const asked = markAsked(context);
  const outcome = await runWithin(context, { connection: acquired, command, deadlineAt });
  if (command.type !== 'begin') recordLatency(context, member, asked, outcome);
  if (outcome.type === 'lost') {
    member.pool.discard(acquired);
    return outcome;
  }
  observeAnswer(context, member, asked, outcome.answer);
  return { ...outcome, asked, connection: acquired };
}

async function acquireConnection(
  context: GroupContext,
  member: Member,
  request: StatementRequest,
  deadlineAt: number,
): Promise<PooledConnection | AttemptOutcome> {
  const { state: session } = request.session;
  const { priority } = request.route;
  let connection: PooledConnection;
  try {
    connection = await member.pool.acquire({ session, deadlineAt, priority });
  } catch (error) {
    if (error instanceof NoConnectionError) return { type: 'notSent', cause: 'noConnection' };
    avoidMember(member, context.clock.now());
    return { type: 'notSent', cause: 'unreachable' };
  }
  const preparation = prepareConnection(connection, session, request.prepared?.statement);
  const { clock } = context;
  const prepared = await settleWithin(clock, preparation, deadlineAt - clock.now());
  if (prepared.type === 'value' && !prepared.value) return connection;
  const { group, logger } = context;
  const { memberId } = member.entry;
  logger.warn('connectionNotPrepared', { group, memberId, requestId: request.id, prepared });
  member.pool.discard(connection);
  return { type: 'notSent', cause: 'refused' };
}

/**
 * Learns the time that a member takes, the way and its own queue included.
 *
 * The wait for a place is left out. With it, a member whose connections were taken for a second looked
 * slow for seconds afterwards, and reads queued at others while it had nothing to do.
 */
export function recordLatency(
  { clock }: GroupContext,
  member: Member,
  asked: AskedAt,
  outcome: { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost' },
): void {
  const isRun = outcome.type === 'lost' || outcome.answer.outcome === 'completed';
  if (!isRun) return;
  member.latency.record(clock.now() - asked.at, clock.now());
}

/** Runs a command, giving up on its answer at the deadline. */
export async function runWithin(
  context: GroupContext,
  options: { connection: PooledConnection; command: UpstreamCommand; deadlineAt: number },
): Promise<
  { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost'; cause: 'timeout' | 'broken' }
> {
  const { connection, command, deadlineAt } = options;
  const { clock } = context;
  const running = connection.link.run(command);
  const settled = await settleWithin(clock, running, deadlineAt - clock.now());
  if (settled.type === 'value') return { type: 'answered', answer: settled.value };
  return { type: 'lost', cause: settled.type === 'timeout' ? 'timeout' : 'broken' };
}
