import type { NotRunReason, Outcome } from '@wisterialift/schema';
import { discarded, notRun, unknown } from './outcomes';
import { changesData } from './requestContext';
import type { RequestContext } from './requestContext';
import type { TrackedRequest } from './requestTable';

/** @internal */
export interface FinalAnswers {
  answer: (request: TrackedRequest, outcome: Outcome) => void;
  /** Drops the request without an answer. */
  forget: (request: TrackedRequest) => void;
  giveUp: (request: TrackedRequest, reason: NotRunReason, now: number) => void;
  /** Ends a request whose connection was lost with its answer. */
  leaveOpen: (request: TrackedRequest) => void;
}

/**
 * Creates the final answers: each request gets one, and gives back whatever it waited in.
 *
 * @internal
 */
export function createFinalAnswers(context: RequestContext): FinalAnswers {
  const { policy, members, requests, looking, rounds, held, queueOf, record, emit } = context;

  function answer(request: TrackedRequest, outcome: Outcome): void {
    forget(request);
    emit({ type: 'answerRequest', requestId: request.requestId, outcome });
  }

  function forget(request: TrackedRequest): void {
    requests.delete(request.requestId);
    looking.delete(request);
    if (request.phase === 'queued') queueOf(request).remove(request.requestId);
    if (request.phase === 'held') held.remove(request.requestId);
    if (request.round) rounds.leave(request.round);
    request.round = undefined;
  }

  /** The final answer of a request that gets no further attempt. */
  function giveUp(request: TrackedRequest, reason: NotRunReason, now: number): void {
    const retryAfter = retryAfterOf(reason, request, now);
    record({
      name: 'requestRejected',
      requestId: request.requestId,
      reason,
      retryAfterMilliseconds: Math.ceil(retryAfter),
    });
    if (!request.mayHaveRun) answer(request, notRun(reason, retryAfter));
    else answer(request, leftOpen(request, 'deadline', retryAfter));
  }

  /**
   * The answer where an attempt may have run. Never "not run": the caller would repeat a write that
   * is in the database. A read, and a BEGIN whose connection is closed, leave nothing behind.
   */
  function leftOpen(
    request: TrackedRequest,
    reason: 'deadline' | 'connectionLost',
    retryAfter: number,
  ): Outcome {
    if (!changesData(request.access)) return discarded(retryAfter);
    const isReplaced = (members.knownTerm() ?? 0) > request.term;
    return unknown(isReplaced ? 'primaryReplaced' : reason, retryAfter);
  }

  function retryAfterOf(reason: NotRunReason, request: TrackedRequest, now: number): number {
    const queueTime = queueOf(request).retryAfter(now);
    if (reason === 'noPrimary') return Math.max(queueTime, policy.suspicionMilliseconds);
    if (reason === 'noFreshMember') return Math.max(queueTime, policy.probeIntervalMilliseconds);
    return queueTime;
  }

  return {
    answer,
    forget,
    giveUp,
    leaveOpen: (request) => {
      const retryAfter = policy.probeIntervalMilliseconds;
      answer(request, leftOpen(request, 'connectionLost', retryAfter));
    },
  };
}
