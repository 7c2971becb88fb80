import type { HeldWrite, SettledWrite } from '../acknowledgement/confirmationTracker';
import type { ReadRoute } from '../reads/readRouter';
import { createStalenessSamples } from '../reads/stalenessSamples';
import { createRequestRouter } from '../routing/requestRouter';
import { createAttempts } from './attempts';
import type { StatementFinish } from './attempts';
import { createFinalAnswers } from './finalAnswers';
import type { Member } from './memberTable';
import type { Access, EngineRequest } from './messages';
import { discarded, done } from './outcomes';
import { createRequestContext } from './requestContext';
import type { RequestContextOptions } from './requestContext';
import type { TrackedRequest } from './requestTable';
import type { StatusDemand } from './statusPump';

/** @internal */
export interface RequestFlow {
  onArrived: (request: EngineRequest, now: number) => void;
  onCancelled: (requestId: string, now: number) => void;
  onFinished: (finish: StatementFinish, now: number) => void;
  onTransactionFinished: (transactionId: string) => void;
  /** A member answered: floors, ages, confirmations and routes may have changed. */
  onAnswered: (member: Member, now: number) => void;
  /** Ends attempts at members that have gone silent. */
  breakSilent: (now: number) => void;
  /** Gives every request its final answer that has reached its deadline. */
  expire: (now: number) => void;
  /** Sends what may be sent. */
  dispatch: (now: number) => void;
  demand: (now: number) => StatusDemand;
  nextDueAt: () => number;
  /** The write that has waited longest for its confirmation. */
  oldestHeldWrite: () => HeldWrite | undefined;
  /** Statements and transactions of this instance at the member. */
  inFlight: (member: string) => number;
  queued: () => number;
}

/** Pace of questions while requests wait for a member to move on or for a primary. */
const WAITING_PACE_MILLISECONDS = 5;

/**
 * Creates the way of requests through the engine: arrival, dispatch, answers of members, deadlines.
 *
 * Per statement it does a few map and heap operations and one pass over the members.
 *
 * @internal
 */
export function createRequestFlow(options: RequestContextOptions): RequestFlow {
  const context = createRequestContext(options);
  const { policy, members, places, requests, reads, changes, looking, rounds, held } = context;
  const { queueOf, record, markRoutes, nextQuestionId, onConfirmed } = context;
  const answers = createFinalAnswers(context);
  const { answer, giveUp } = answers;
  const router = createRequestRouter(context);
  const attempts = createAttempts(context, answers);
  const samples = createStalenessSamples(members);

  const arrivals: Record<Access, (request: TrackedRequest, now: number) => void> = {
    read: onReadArrived,
    write: enqueue,
    transaction: look,
    commit: onCommitArrived,
  };

  function onArrived(request: EngineRequest, now: number): void {
    const tracked = requests.add(request);
    attempts.onFirstTry(now);
    arrivals[request.access](tracked, now);
  }

  function onReadArrived(request: TrackedRequest, now: number): void {
    const acceptsAge = request.maximumStalenessMilliseconds > 0;
    const needsNoRound = acceptsAge ? router.isServable(request, now) : request.token !== undefined;
    if (needsNoRound) enqueue(request, now);
    else look(request, now);
  }

  /** Waits for a floor round that starts now or later. */
  function look(request: TrackedRequest, now: number): void {
    const waiting = looking.size + queueOf(request).length();
    if (waiting >= policy.queueLength) {
      giveUp(request, 'overloaded', now);
      return;
    }
    request.round = rounds.join(nextQuestionId());
    request.phase = 'looking';
    looking.add(request);
  }

  function enqueue(request: TrackedRequest, now: number): void {
    const queue = queueOf(request);
    const offer = queue.offer(request, now);
    if (!offer.accepted) {
      const isWithoutPrimary = request.access !== 'read' && !router.usablePrimary(now);
      giveUp(request, isWithoutPrimary ? 'noPrimary' : 'overloaded', now);
      return;
    }
    request.phase = 'queued';
    markRoutes();
    if (offer.evicted) giveUp(offer.evicted, 'overloaded', now);
  }

  function onCommitArrived(request: TrackedRequest, now: number): void {
    const transaction = attempts.transactionOf(request);
    if (!transaction) {
      giveUp(request, 'refusedByDatabase', now);
      return;
    }
    attempts.run(request, transaction.member, now);
    request.term = transaction.term;
  }

  function dispatch(now: number): void {
    if (!context.takeMark()) return;
    dispatchReads(now);
    dispatchChanges(now);
  }

  function dispatchReads(now: number): void {
    while (reads.length() > 0) {
      const candidates = router.readCandidates(now);
      if (candidates.length === 0) return;
      let route: ReadRoute | undefined;
      const request = reads.takeNext(now, (queued) => {
        route = router.routeRead(queued, candidates, now);
        return route !== undefined;
      });
      if (!request || !route) return;
      recordRoute(route);
      attempts.run(request, route.member, now);
    }
  }

  function recordRoute({ member, by }: ReadRoute): void {
    const isReplica = member !== members.primary();
    record({ name: 'readRouted', member: member.name, isReplica, by });
  }

  function dispatchChanges(now: number): void {
    while (changes.length() > 0) {
      const primary = router.usablePrimary(now);
      if (!primary || !places.hasPlace(primary)) return;
      const request = changes.takeNext(now, (queued) => router.mayRunAtPrimary(queued, primary));
      if (!request) return;
      attempts.run(request, primary, now);
    }
  }

  function onCancelled(requestId: string, now: number): void {
    const request = requests.get(requestId);
    if (!request) return;
    if (request.phase === 'running') attempts.abandon(request, now);
    answers.forget(request);
  }

  function onAnswered(member: Member, now: number): void {
    rounds.onAnswered(member);
    samples.onAnswered(member, now);
    held.takeSettled().forEach((settled) => onSettled(settled, now));
    admitLooked(now);
    markRoutes();
  }

  function onSettled({ write, settlement }: SettledWrite, now: number): void {
    const request = requests.get(write.requestId);
    if (!request) return;
    if (settlement === 'discarded') {
      answer(request, discarded(policy.probeIntervalMilliseconds));
      return;
    }
    const waitedMilliseconds = now - write.completedAt;
    record({ name: 'writeConfirmed', waitedMilliseconds });
    if (settlement === 'confirmed') onConfirmed(waitedMilliseconds);
    answer(request, done(write.position));
  }

  /** Rounds end in the order of their start, so the first one without a floor ends the walk. */
  function admitLooked(now: number): void {
    for (const request of looking) {
      if (!request.round?.floor) return;
      looking.delete(request);
      enqueue(request, now);
    }
  }

  function expire(now: number): void {
    [...reads.expire(now), ...changes.expire(now)].forEach((request) => {
      giveUp(request, router.reasonOf(request, now), now);
    });
    let request = requests.takeDue(now);
    while (request) {
      if (now >= request.deadlineAt) onDeadline(request, now);
      else markRoutes();
      request = requests.takeDue(now);
    }
  }

  function onDeadline(request: TrackedRequest, now: number): void {
    if (request.phase === 'running') attempts.abandon(request, now);
    giveUp(request, router.reasonOf(request, now), now);
  }

  function demand(now: number): StatusDemand {
    const hasHeld = held.size() > 0;
    const openRound = rounds.newestOpen();
    const isUrgent = hasHeld || openRound > 0;
    return {
      fromQuestionId: Math.max(openRound, hasHeld ? attempts.newestHeldQuestionId() : 0),
      isContinuous: hasHeld || router.waitsForMembers(now),
      paceMilliseconds: isUrgent
        ? policy.confirmIntervalMilliseconds
        : Math.max(WAITING_PACE_MILLISECONDS, policy.confirmIntervalMilliseconds),
    };
  }

  function nextDueAt(): number {
    return Math.min(
      requests.nextDueAt(),
      reads.nextDeadline() ?? Number.POSITIVE_INFINITY,
      changes.nextDeadline() ?? Number.POSITIVE_INFINITY,
    );
  }

  return {
    onArrived,
    onCancelled,
    onFinished: attempts.onFinished,
    onTransactionFinished: attempts.onTransactionFinished,
    onAnswered,
    breakSilent: (now) => {
      attempts.breakSilent((member) => router.isSilent(member, now), now);
    },
    expire,
    dispatch,
    demand,
    nextDueAt,
    oldestHeldWrite: held.oldest,
    inFlight: attempts.inFlight,
    queued: () => looking.size + reads.length() + changes.length(),
  };
}
