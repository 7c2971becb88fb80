import type { NotRunReason, RequestOutcome } from '@wisterialift/schema';
import { createDiscardedOutcome, createNotRunOutcome, createUnknownOutcome } from './outcomes';
import { canChangeData } from './requestContext';
import type { RequestContext } from './requestContext';
import type { TrackedRequest } from './requestTable';

/** @internal */
export interface RequestCompletion {
  complete: (request: TrackedRequest, outcome: RequestOutcome) => void;
  /** Removes the request without reporting an outcome. */
  remove: (request: TrackedRequest) => void;
  reject: (request: TrackedRequest, reason: NotRunReason, now: number) => void;
  /** Completes a request whose attempt ended before the response arrived. */
  completeAfterLoss: (request: TrackedRequest) => void;
}

/**
 * Completes requests: reports exactly one outcome for each and releases what the request held.
 *
 * @internal
 */
export function createRequestCompletion(context: RequestContext): RequestCompletion {
  const {
    policy,
    members,
    requests,
    awaitingFloor,
    rounds,
    unconfirmedWrites,
    getQueue,
    record,
    emit,
  } = context;

  function complete(request: TrackedRequest, outcome: RequestOutcome): void {
    remove(request);
    emit({ type: 'answerRequest', requestId: request.requestId, outcome });
  }

  function remove(request: TrackedRequest): void {
    requests.delete(request.requestId);
    awaitingFloor.delete(request);
    if (request.phase === 'queued') getQueue(request).remove(request.requestId);
    if (request.phase === 'awaitingConfirmation') unconfirmedWrites.remove(request.requestId);
    if (request.round) rounds.leave(request.round);
    request.round = undefined;
  }

  /** Completes a request that gets no further attempt. */
  function reject(request: TrackedRequest, reason: NotRunReason, now: number): void {
    const delayMilliseconds = computeRetryAfter(reason, request, now);
    record({
      name: 'requestRejected',
      requestId: request.requestId,
      reason,
      retryAfterMilliseconds: Math.ceil(delayMilliseconds),
    });
    if (!request.hasPossiblyRun) complete(request, createNotRunOutcome(reason, delayMilliseconds));
    else complete(request, createOutcomeOfPossiblyRun(request, 'deadline', delayMilliseconds));
  }

  /**
   * Returns the outcome of a request that may have run: `discarded` for reads and BEGIN, which may be
   * repeated; `unknown` for writes, since they may be stored.
   */
  function createOutcomeOfPossiblyRun(
    request: TrackedRequest,
    reason: 'deadline' | 'connectionLost',
    retryAfterMilliseconds: number,
  ): RequestOutcome {
    if (!canChangeData(request.access)) return createDiscardedOutcome(retryAfterMilliseconds);
    const isReplaced = (members.getMajorityTerm() ?? 0) > request.term;
    return createUnknownOutcome(isReplaced ? 'primaryReplaced' : reason, retryAfterMilliseconds);
  }

  function computeRetryAfter(reason: NotRunReason, request: TrackedRequest, now: number): number {
    const queueTime = getQueue(request).estimateRetryAfter(now);
    // By then, a member that did not answer is known to be silent and is avoided.
    if (request.hasPossiblyRun) return Math.max(queueTime, policy.suspicionMilliseconds);
    if (reason === 'noPrimary') return Math.max(queueTime, policy.suspicionMilliseconds);
    if (reason === 'noFreshMember') return Math.max(queueTime, policy.probeIntervalMilliseconds);
    return queueTime;
  }

  return {
    complete,
    remove,
    reject,
    completeAfterLoss: (request) => {
      const retryAfterMilliseconds = policy.probeIntervalMilliseconds;
      complete(
        request,
        createOutcomeOfPossiblyRun(request, 'connectionLost', retryAfterMilliseconds),
      );
    },
  };
}
