import { createRetryBudget } from '@wisterialift/core';
import type { UpstreamCommand } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import { attemptCommand } from './attemptCommand';
import type { AttemptOutcome } from './attemptCommand';
import type { GroupContext } from './groupContext';
import { releaseConnection } from './releaseConnection';
import type { Member } from './member';
import type { ReadAttemptLog } from './readAttemptLog';
import type { ReadCandidate } from './readCandidates';
import type { StatementRequest } from './statementRequest';

/** A read attempted at one member. */
export interface ReadAttempt {
  candidate: ReadCandidate;
  outcome: AttemptOutcome;
  /** Whether the read was also sent to a second member; not if omitted. */
  isHedged?: boolean;
}

/** Creates the command for a read that requires `after` to be applied. */
export type ReadCommandFactory = (after?: Position) => UpstreamCommand;

/** Runs reads, repeating them at a second member if the first does not answer in time. */
export interface HedgedReads {
  /** Credits the hedging budget with a new read. */
  recordRead: () => void;
  run: (options: {
    request: StatementRequest;
    createCommand: ReadCommandFactory;
    attemptLog: ReadAttemptLog;
    first: ReadCandidate;
    second: ReadCandidate | undefined;
  }) => Promise<ReadAttempt>;
}

interface AttemptReadOptions {
  request: StatementRequest;
  createCommand: ReadCommandFactory;
  attemptLog: ReadAttemptLog;
  isAbandoned: () => boolean;
}

/** Multiple of the expected latency after which a read is hedged. */
const HEDGE_LATENCY_MULTIPLE = 5;
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 250;

/** Hedges add at most a tenth to the load of an outage; an idle instance can always hedge a few. */
const HEDGE_BUDGET = { retryRatio: 0.1, minimumTokens: 5 };

/** Time after which a queued read re-evaluates all members, as others may be eligible by then. */
const QUEUE_TIMEOUT_MILLISECONDS = 100;

export function createHedgedReads(context: GroupContext): HedgedReads {
  const { clock, counters, failureEjection, group, logger, isMechanismEnabled } = context;
  const budget = createRetryBudget(HEDGE_BUDGET);

  async function run({
    request,
    createCommand,
    attemptLog,
    first,
    second,
  }: Parameters<HedgedReads['run']>[0]): Promise<ReadAttempt> {
    let isAnswered = false;
    const options = { request, createCommand, attemptLog, isAbandoned: () => isAnswered };
    const firstAttempt = attemptRead(first, options);
    if (!second || second.wait > 0 || !isMechanismEnabled('hedging')) return firstAttempt;
    const hedgeDelay = calculateHedgeDelay(first.member);
    const timeLeft = request.deadlineAt - clock.now();
    const earlyResult = await resolveWithTimeout(
      clock,
      firstAttempt,
      Math.min(hedgeDelay, timeLeft),
    );
    if (earlyResult) return earlyResult;
    if (!budget.trySpendRetry(clock.now())) return firstAttempt;
    // Reads are idempotent, and the first attempt continues because it may still finish first.
    logger.info('readHedged', {
      group,
      requestId: request.id,
      memberId: first.member.entry.memberId,
      secondMemberId: second.member.entry.memberId,
      waitedMilliseconds: Math.round(hedgeDelay),
    });
    attemptLog.start();
    counters.retries += 1;
    const result = await resolveFirstCompleted(context, [
      firstAttempt,
      attemptRead(second, options),
    ]);
    isAnswered = true;
    return { ...result, isHedged: true };
  }

  function calculateHedgeDelay(member: Member): number {
    return Math.max(
      MINIMUM_HEDGE_DELAY_MILLISECONDS,
      HEDGE_LATENCY_MULTIPLE * member.latency.getCurrent(clock.now()),
    );
  }

  async function attemptRead(
    candidate: ReadCandidate,
    { request, createCommand, attemptLog, isAbandoned }: AttemptReadOptions,
  ): Promise<ReadAttempt> {
    const command = createCommand(candidate.after);
    const { deadlineAt } = request;
    const { member, status } = candidate;
    const { entry, lag } = member;
    if (status === 'trial' && !failureEjection.tryBeginTrial(member)) {
      return { candidate, outcome: { type: 'notSent', cause: 'ejected' } };
    }
    if (status === 'ejected') failureEjection.recordLastResort(member);
    if (candidate.isTrialRead) lag.beginTrialRead();
    try {
      const outcome = await attemptCommand(context, member, {
        request,
        command,
        deadlineAt,
        queueTimeout: chooseQueueTimeout(request),
        isAbandoned,
        isEjected: () => hasBeenEjected(candidate),
        onSend: (connection) => attemptLog.recordSent(entry.memberId, connection, candidate.after),
      });
      if (outcome.type === 'notSent') attemptLog.recordNotSent(entry.memberId, outcome.cause);
      if (candidate.isTrialRead) lag.endTrialRead();
      return { candidate, outcome };
    } finally {
      // Also after an answer that cannot be processed; the member would stay ejected otherwise.
      if (status === 'trial') failureEjection.endTrial(member);
    }
  }

  /** Whether a member that was available when it was chosen is no longer so. */
  function hasBeenEjected({ status, member }: ReadCandidate): boolean {
    return status === 'available' && failureEjection.getStatus(member, true) !== 'available';
  }

  /** Returns no timeout for a read that only the primary can serve. */
  function chooseQueueTimeout({ route }: StatementRequest): number | undefined {
    const canTryElsewhere = route.consistency !== 'primary' && isMechanismEnabled('lookingAgain');
    return canTryElsewhere ? QUEUE_TIMEOUT_MILLISECONDS : undefined;
  }

  return { recordRead: () => budget.recordFirstAttempt(clock.now()), run };
}

/**
 * Resolves with the first completed attempt, or with the last attempt if none completes, and
 * releases the connections of the others.
 */
function resolveFirstCompleted(
  context: GroupContext,
  attempts: Promise<ReadAttempt>[],
): Promise<ReadAttempt> {
  return new Promise((resolve, reject) => {
    let pending = attempts.length;
    let isResolved = false;
    const settle = (result: ReadAttempt) => {
      pending -= 1;
      const { candidate, outcome } = result;
      const isCompleted = outcome.type === 'answered' && outcome.answer.outcome === 'completed';
      if (!isResolved && (isCompleted || pending === 0)) {
        isResolved = true;
        resolve(result);
      } else if (outcome.type === 'answered') {
        const { transaction } = outcome.answer;
        releaseConnection(context, { ...candidate, connection: outcome.connection, transaction });
      }
    };
    for (const readAttempt of attempts) readAttempt.then(settle, reject);
  });
}
