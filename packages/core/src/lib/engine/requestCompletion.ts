import type { NotRunReason, Outcome } from '@wisterialift/schema';
import { createDiscardedOutcome, createNotRunOutcome, createUnknownOutcome } from './outcomes';
import { changesData } from './requestContext';
import type { RequestContext } from './requestContext';
import type { TrackedRequest } from './requestTable';

/** @internal */
export interface RequestCompletion {
  complete: (request: TrackedRequest, outcome: Outcome) => void;
  /** Removes the request without reporting an outcome. */
  remove: (request: TrackedRequest) => void;
  reject: (request: TrackedRequest, reason: NotRunReason, now: number) => void;
  /** Completes a request whose connection was lost before the response arrived. */
  completeAfterLoss: (request: TrackedRequest) => void;
}

/**
 * Completes requests: reports exactly one outcome for each and releases what the request held.
 *
 * @internal
 */
export function createRequestCompletion(context: RequestContext): RequestCompletion {
  const { policy, members, requests, awaitingFloor, rounds, heldWrites, getQueue, record, emit } =
    context;

  function complete(request: TrackedRequest, outcome: Outcome): void {
    remove(request);
    emit({ type: 'answerRequest', requestId: request.requestId, outcome });
  }

  function remove(request: TrackedRequest): void {
    requests.delete(request.requestId);
    awaitingFloor.delete(request);
    if (request.phase === 'queued') getQueue(request).remove(request.requestId);
    if (request.phase === 'held') heldWrites.remove(request.requestId);
    if (request.round) rounds.leave(request.round);
    request.round = undefined;
  }

  /** Completes a request that gets no further attempt. */
  function reject(request: TrackedRequest, reason: NotRunReason, now: number): void {
    const retryAfter = computeRetryAfter(reason, request, now);
    record({
      name: 'requestRejected',
      requestId: request.requestId,
      reason,
      retryAfterMilliseconds: Math.ceil(retryAfter),
    });
    if (!request.hasPossiblyRun) complete(request, createNotRunOutcome(reason, retryAfter));
    else complete(request, createOutcomeAfterLoss(request, 'deadline', retryAfter));
  }

  /**
   * Returns the outcome of a request that may have run. A write is never reported as `notRun`: the
   * caller would repeat it although it may be stored.
   */
  function createOutcomeAfterLoss(
    request: TrackedRequest,
    reason: 'deadline' | 'connectionLost',
    retryAfter: number,
  ): Outcome {
    if (!changesData(request.access)) return createDiscardedOutcome(retryAfter);
    const isReplaced = (members.majorityTerm() ?? 0) > request.term;
    return createUnknownOutcome(isReplaced ? 'primaryReplaced' : reason, retryAfter);
  }

  function computeRetryAfter(reason: NotRunReason, request: TrackedRequest, now: number): number {
    const queueTime = getQueue(request).retryAfter(now);
    if (reason === 'noPrimary') return Math.max(queueTime, policy.suspicionMilliseconds);
    if (reason === 'noFreshMember') return Math.max(queueTime, policy.probeIntervalMilliseconds);
    return queueTime;
  }

  return {
    complete,
    remove,
    reject,
    completeAfterLoss: (request) => {
      const retryAfter = policy.probeIntervalMilliseconds;
      complete(request, createOutcomeAfterLoss(request, 'connectionLost', retryAfter));
    },
  };
}
