import type { PendingWrite, ResolvedWrite } from '../acknowledgement/confirmationTracker';
import type { ReadRoute } from '../reads/readRouter';
import { createStalenessSamples } from '../reads/stalenessSamples';
import { createRequestRouter } from '../routing/requestRouter';
import { createStatementAttempts } from './statementAttempts';
import type { AttemptReference, AttemptResult } from './statementAttempts';
import { createRequestCompletion } from './requestCompletion';
import { measureRequest } from './requestTimes';
import type { Member } from './memberTable';
import type { Access, EngineRequest } from './messages';
import { createDiscardedOutcome, createDoneOutcome } from './outcomes';
import { createRequestContext } from './requestContext';
import type { RequestContextOptions } from './requestContext';
import type { TrackedRequest } from './requestTable';
import type { StatusDemand } from './statusPoller';

/** @internal */
export interface RequestFlow {
  onArrived: (request: EngineRequest, now: number) => void;
  onCancelled: (requestId: string, now: number) => void;
  onFinished: (finished: AttemptResult, now: number) => void;
  onAnswerContinued: (attempt: AttemptReference, now: number) => void;
  onTransactionFinished: (transactionId: string) => void;
  /** Updates floors, staleness, confirmations and routes after a status response. */
  onAnswered: (member: Member, now: number) => void;
  /**
   * Cancels reads and BEGIN at members that do not respond, and completes writes there as `unknown`
   * once their primary has been replaced.
   */
  cancelSilentAttempts: (now: number) => void;
  /** Completes queued requests that can no longer meet their deadline. */
  expireQueued: (now: number) => void;
  /** Completes requests that have reached their deadline, and schedules a dispatch for due wake-ups. */
  expireDue: (now: number) => void;
  /** Sends waiting requests to members with free capacity. */
  dispatch: (now: number) => void;
  getStatusDemand: (now: number) => StatusDemand;
  getNextDueAt: () => number;
  /** Returns the write that has waited longest for confirmation. */
  getOldestUnconfirmedWrite: () => PendingWrite | undefined;
  /** Open transactions plus running statements at the member; a running COMMIT counts in both. */
  countInFlight: (member: string) => number;
  countQueued: () => number;
}

/** Minimum interval of status requests while requests wait for a replica or a primary. */
const WAITING_INTERVAL_MILLISECONDS = 5;

/**
 * Processes requests from arrival to completion: queueing, dispatch, confirmation and deadlines.
 *
 * @internal
 */
export function createRequestFlow(options: RequestContextOptions): RequestFlow {
  const context = createRequestContext(options);
  const {
    policy,
    members,
    capacity,
    requests,
    readQueue,
    primaryQueue,
    awaitingFloor,
    rounds,
    unconfirmedWrites,
  } = context;
  const { getQueue, record, scheduleDispatch, peekNextControlRequestId, onConfirmed } = context;
  const completion = createRequestCompletion(context);
  const { complete, reject } = completion;
  const router = createRequestRouter(context);
  const attempts = createStatementAttempts(context, completion);
  const samples = createStalenessSamples(members);

  const arrivals: Record<Access, (request: TrackedRequest, now: number) => void> = {
    read: onReadArrived,
    write: enqueue,
    transaction: awaitFloor,
    commit: onCommitArrived,
  };

  function onArrived(request: EngineRequest, now: number): void {
    const tracked = requests.add(request);
    attempts.recordArrival(now);
    arrivals[request.access](tracked, now);
  }

  function onReadArrived(request: TrackedRequest, now: number): void {
    const isStalenessAccepted = request.maximumStalenessMilliseconds > 0;
    const canQueueDirectly = isStalenessAccepted
      ? router.isServable(request)
      : request.token !== undefined;
    if (canQueueDirectly) enqueue(request, now);
    else awaitFloor(request, now);
  }

  /** Joins a floor round whose status requests are all sent after the arrival of the request. */
  function awaitFloor(request: TrackedRequest, now: number): void {
    const waiting = awaitingFloor.size + getQueue(request).length();
    if (waiting >= policy.queueLength) {
      reject(request, 'overloaded', now);
      return;
    }
    request.round = rounds.join(peekNextControlRequestId());
    request.phase = 'awaitingFloor';
    awaitingFloor.add(request);
  }

  function enqueue(request: TrackedRequest, now: number): void {
    const queue = getQueue(request);
    const offer = queue.offer(request, now);
    if (!offer.accepted) {
      const isWithoutPrimary = request.access !== 'read' && !router.findUsablePrimary(now);
      reject(request, isWithoutPrimary ? 'noPrimary' : 'overloaded', now);
      return;
    }
    request.phase = 'queued';
    scheduleDispatch();
    if (offer.evicted) reject(offer.evicted, 'overloaded', now);
  }

  /** COMMIT uses the connection of its transaction, and belongs to the term in which that began. */
  function onCommitArrived(request: TrackedRequest, now: number): void {
    const transaction = attempts.getTransaction(request);
    if (!transaction) {
      reject(request, 'refusedByDatabase', now);
      return;
    }
    attempts.run(request, transaction.member, now);
    request.term = transaction.term;
  }

  function dispatch(now: number): void {
    if (!context.takeDispatchPending()) return;
    dispatchReads(now);
    dispatchToPrimary(now);
  }

  function dispatchReads(now: number): void {
    while (readQueue.length() > 0) {
      const candidates = router.listReadCandidates(now);
      if (candidates.length === 0) return;
      let route: ReadRoute | undefined;
      const request = readQueue.takeNext(now, (queued) => {
        route = router.routeRead(queued, candidates, now);
        return route !== undefined;
      });
      if (!request || !route) return;
      recordRoute(route);
      attempts.run(request, route.member, now);
    }
  }

  function recordRoute({ member, by }: ReadRoute): void {
    const isReplica = member !== members.getPrimary();
    record({ name: 'readRouted', member: member.name, isReplica, by });
  }

  function dispatchToPrimary(now: number): void {
    while (primaryQueue.length() > 0) {
      const primary = router.findUsablePrimary(now);
      if (!primary || !capacity.hasCapacity(primary)) return;
      const request = primaryQueue.takeNext(now, (queued) =>
        router.canRunAtPrimary(queued, primary),
      );
      if (!request) return;
      attempts.run(request, primary, now);
    }
  }

  function onCancelled(requestId: string, now: number): void {
    const request = requests.get(requestId);
    if (!request) return;
    if (request.phase === 'running') attempts.cancelAttempt(request, now);
    completion.remove(request);
  }

  function onAnswered(member: Member, now: number): void {
    rounds.onAnswered(member);
    samples.onAnswered(member, now);
    unconfirmedWrites.takeResolved().forEach((settled) => onSettled(settled, now));
    enqueueWithFloor(now);
    scheduleDispatch();
  }

  /** `onConfirmed` is not called for a write that `survived` in the log of a later primary. */
  function onSettled({ write, outcome }: ResolvedWrite, now: number): void {
    const request = requests.get(write.requestId);
    if (!request) return;
    if (outcome === 'discarded') {
      complete(request, createDiscardedOutcome(policy.probeIntervalMilliseconds));
      return;
    }
    const waitedMilliseconds = now - write.completedAt;
    record({ name: 'writeConfirmed', waitedMilliseconds });
    if (outcome === 'confirmed') onConfirmed(waitedMilliseconds);
    complete(request, createDoneOutcome(write.position));
  }

  /** Rounds complete in the order in which they start, so the first incomplete one ends the loop. */
  function enqueueWithFloor(now: number): void {
    for (const request of awaitingFloor) {
      if (!request.round?.floor) return;
      awaitingFloor.delete(request);
      enqueue(request, now);
    }
  }

  function expireQueued(now: number): void {
    [...readQueue.expire(now), ...primaryQueue.expire(now)].forEach((request) => {
      reject(request, router.findNotRunReason(request, now), now);
    });
  }

  function expireDue(now: number): void {
    let request = requests.takeDue(now);
    while (request) {
      if (now >= request.deadlineAt) onDeadline(request, now);
      else {
        if (request.answer) requests.wakeAt(request, request.deadlineAt);
        scheduleDispatch();
      }
      request = requests.takeDue(now);
    }
  }

  function onDeadline(request: TrackedRequest, now: number): void {
    const { requestId, access } = request;
    record({ name: 'requestExpired', requestId, access, ...measureRequest(request, now) });
    if (request.phase === 'running') attempts.cancelAttempt(request, now);
    reject(request, router.findNotRunReason(request, now), now);
  }

  function getStatusDemand(now: number): StatusDemand {
    const hasUnconfirmedWrites = unconfirmedWrites.size() > 0;
    const openRoundRequestId = rounds.findNewestPendingRoundStart();
    const isUrgent = hasUnconfirmedWrites || openRoundRequestId > 0;
    return {
      fromControlRequestId: Math.max(
        openRoundRequestId,
        hasUnconfirmedWrites ? attempts.getFirstConfirmingRequestId() : 0,
        attempts.getFirstIdentifyingRequestId(),
      ),
      isContinuous: hasUnconfirmedWrites || router.hasRequestsWaitingForStatus(now),
      minimumIntervalMilliseconds: isUrgent
        ? policy.confirmIntervalMilliseconds
        : Math.max(WAITING_INTERVAL_MILLISECONDS, policy.confirmIntervalMilliseconds),
    };
  }

  function getNextDueAt(): number {
    return Math.min(
      requests.getNextDueAt(),
      readQueue.findNextExpiry() ?? Number.POSITIVE_INFINITY,
      primaryQueue.findNextExpiry() ?? Number.POSITIVE_INFINITY,
    );
  }

  return {
    onArrived,
    onCancelled,
    onFinished: attempts.onFinished,
    onAnswerContinued: attempts.onAnswerContinued,
    onTransactionFinished: attempts.onTransactionFinished,
    onAnswered,
    cancelSilentAttempts: (now) => {
      attempts.cancelSilentAttempts((member) => router.isSilent(member, now), now);
    },
    expireQueued,
    expireDue,
    dispatch,
    getStatusDemand,
    getNextDueAt,
    getOldestUnconfirmedWrite: unconfirmedWrites.findOldest,
    countInFlight: attempts.countInFlight,
    countQueued: () => awaitingFloor.size + readQueue.length() + primaryQueue.length(),
  };
}
