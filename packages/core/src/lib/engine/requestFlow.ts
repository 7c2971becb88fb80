import { isAtMost } from '@wisterialift/schema';
import type { NotRunReason, Outcome } from '@wisterialift/schema';
import { createConfirmationTracker } from '../acknowledgement/confirmationTracker';
import type { ConfirmationTracker, SettledWrite } from '../acknowledgement/confirmationTracker';
import { createAdmissionQueue } from '../admission/admissionQueue';
import { createRetryBudget } from '../admission/retryBudget';
import { createFloorRounds } from '../reads/floorRounds';
import { chooseReadMember, servesBy } from '../reads/readRouter';
import type { ReadNeed, ReadRoute } from '../reads/readRouter';
import { createStalenessSamples } from '../reads/stalenessSamples';
import { hasAnswered, termOf } from './memberTable';
import type { Member, MemberTable } from './memberTable';
import type { MemberPlaces } from './memberPlaces';
import type {
  Access,
  EngineEffect,
  EngineRecord,
  EngineRequest,
  GroupEngineOptions,
  RefusalReason,
  StatementResult,
} from './messages';
import { discarded, done, notRun, unknown } from './outcomes';
import { createRequestTable } from './requestTable';
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
  held: ConfirmationTracker;
  /** Statements and transactions of this instance at the member. */
  inFlight: (member: string) => number;
  queued: () => number;
}

/** @internal */
export interface StatementFinish {
  requestId: string;
  attempt: number;
  result: StatementResult;
}

interface Options {
  engine: GroupEngineOptions;
  members: MemberTable;
  places: MemberPlaces;
  nextQuestionId: () => number;
  holdsWrites: () => boolean;
  onConfirmed: (waitedMilliseconds: number) => void;
  emit: (effect: EngineEffect) => void;
}

interface OpenTransaction {
  member: Member;
  term: number;
}

/** How long a read rather waits for a replica that keeps up than goes to the primary. */
const READ_PATIENCE_MILLISECONDS = 50;
/** No statement goes to a member for this long after it refused a connection. */
const REFUSED_CONNECTION_PAUSE_MILLISECONDS = 25;
/** Pace of questions while requests wait for a member to move on or for a primary. */
const WAITING_PACE_MILLISECONDS = 5;
/** Retries that a quiet instance may always make. */
const MINIMUM_RETRIES = 10;
/** Failed questions in a row after which a member gets no new work. */
const FAILURES_OF_AN_UNUSABLE_MEMBER = 2;

/**
 * Creates the way of requests through the engine: admission, routing, attempts and final answers.
 *
 * Per statement it does a few map and heap operations and one pass over the members.
 *
 * @internal
 */
export function createRequestFlow(options: Options): RequestFlow {
  const { engine, members, places, nextQuestionId, emit } = options;
  const { policy, dataCentre } = engine;
  const requests = createRequestTable();
  const reads = createAdmissionQueue<TrackedRequest>({ capacity: policy.queueLength });
  const changes = createAdmissionQueue<TrackedRequest>({ capacity: policy.queueLength });
  const budget = createRetryBudget({ share: policy.retryShare, minimumTokens: MINIMUM_RETRIES });
  const rounds = createFloorRounds(members);
  const samples = createStalenessSamples(members);
  const held = createConfirmationTracker(members);
  const looking = new Set<TrackedRequest>();
  const transactions = new Map<string, OpenTransaction>();
  let mayRouteReads = false;
  let mayRouteChanges = false;
  let newestHeldQuestionId = 0;

  function record(entry: EngineRecord): void {
    emit({ type: 'record', record: entry });
  }

  function queueOf(request: TrackedRequest) {
    return request.access === 'read' ? reads : changes;
  }

  function markRoutes(): void {
    mayRouteReads = true;
    mayRouteChanges = true;
  }

  // Final answers

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

  // Arrival

  const arrivals: Record<Access, (request: TrackedRequest, now: number) => void> = {
    read: onReadArrived,
    write: enqueue,
    transaction: look,
    commit: onCommitArrived,
  };

  function onArrived(request: EngineRequest, now: number): void {
    const tracked = requests.add(request);
    budget.recordFirstTry(now);
    arrivals[request.access](tracked, now);
  }

  function onReadArrived(request: TrackedRequest, now: number): void {
    const isServable = request.token !== undefined && request.maximumStalenessMilliseconds === 0;
    if (isServable || isAnyoneFreshEnough(request, now)) enqueue(request, now);
    else look(request, now);
  }

  function isAnyoneFreshEnough(request: TrackedRequest, now: number): boolean {
    if (request.maximumStalenessMilliseconds === 0) return false;
    const need = needOf(request, now);
    return members.list().some((member) => servesBy(member, need) !== undefined);
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
      const isWithoutPrimary = request.access !== 'read' && !usablePrimary(now);
      giveUp(request, isWithoutPrimary ? 'noPrimary' : 'overloaded', now);
      return;
    }
    request.phase = 'queued';
    markRoutes();
    if (offer.evicted) giveUp(offer.evicted, 'overloaded', now);
  }

  function onCommitArrived(request: TrackedRequest, now: number): void {
    const transaction = transactions.get(request.transactionId ?? '');
    if (!transaction) {
      giveUp(request, 'refusedByDatabase', now);
      return;
    }
    run(request, transaction.member, now);
    request.term = transaction.term;
  }

  // Routing

  function needOf(request: TrackedRequest, now: number): ReadNeed {
    const staleness = request.maximumStalenessMilliseconds;
    return {
      floor: staleness === 0 ? (request.token ?? request.round?.floor) : request.round?.floor,
      notBefore: staleness > 0 ? now - staleness : undefined,
      token: request.token,
      avoid: request.avoid,
    };
  }

  function isUsable(member: Member, now: number): boolean {
    if (member.failedQuestions >= FAILURES_OF_AN_UNUSABLE_MEMBER) return false;
    if (now < member.avoidUntil) return false;
    return hasAnswered(member, policy.suspicionMilliseconds, now);
  }

  function readCandidates(now: number): Member[] {
    return members
      .list()
      .filter(
        (member) => !member.database.leaving && isUsable(member, now) && places.hasPlace(member),
      );
  }

  function routeRead(
    request: TrackedRequest,
    candidates: Member[],
    now: number,
  ): ReadRoute | undefined {
    const primary = members.primary();
    const need = needOf(request, now);
    const route = chooseReadMember({
      candidates,
      need,
      dataCentre,
      primary,
      runningAt: places.running,
    });
    if (!route || route.member !== primary) return route;
    return isPatient(request, primary, now) ? undefined : route;
  }

  /** The primary goes last: a replica that keeps up is given a moment, one that lags is not. */
  function isPatient(request: TrackedRequest, primary: Member, now: number): boolean {
    if (request.patienceUntil === undefined) {
      const half = (request.deadlineAt - now) / 2;
      request.patienceUntil = now + Math.min(READ_PATIENCE_MILLISECONDS, half);
      requests.wakeAt(request, request.patienceUntil);
    }
    if (now >= request.patienceUntil) return false;
    return members.list().some((member) => {
      if (member === primary || member.database.leaving || !isUsable(member, now)) return false;
      return keepsUp(member) || isAwaited(member, request);
    });
  }

  function keepsUp(member: Member): boolean {
    return member.statusAskedAt - member.freshAsOf <= READ_PATIENCE_MILLISECONDS;
  }

  /** The member's answer to the round may still lower the floor to what a replica has applied. */
  function isAwaited(member: Member, { round }: TrackedRequest): boolean {
    return round !== undefined && member.statusQuestionId < round.firstQuestionId;
  }

  /** The member that writes go to; undefined while there is none that may acknowledge them. */
  function usablePrimary(now: number): Member | undefined {
    if (options.holdsWrites()) return undefined;
    const primary = members.primary();
    if (!primary || !isUsable(primary, now)) return undefined;
    const answering = members
      .list()
      .filter((member) => hasAnswered(member, policy.suspicionMilliseconds, now));
    return answering.length >= members.majority() ? primary : undefined;
  }

  function mayRunAtPrimary(request: TrackedRequest, primary: Member): boolean {
    if (request.access === 'write') return true;
    const { round, token } = request;
    const applied = primary.status?.applied;
    if (!applied || !round?.floor || termOf(primary) < round.term) return false;
    return isAtMost(round.floor, applied) && (!token || isAtMost(token, applied));
  }

  function dispatch(now: number): void {
    if (mayRouteReads) dispatchReads(now);
    if (mayRouteChanges) dispatchChanges(now);
  }

  function dispatchReads(now: number): void {
    mayRouteReads = false;
    while (reads.length() > 0) {
      const candidates = readCandidates(now);
      if (candidates.length === 0) return;
      let route: ReadRoute | undefined;
      const request = reads.takeNext(now, (queued) => {
        route = routeRead(queued, candidates, now);
        return route !== undefined;
      });
      if (!request || !route) return;
      recordRoute(route);
      run(request, route.member, now);
    }
  }

  function recordRoute({ member, by }: ReadRoute): void {
    const isReplica = member !== members.primary();
    record({ name: 'readRouted', member: member.name, isReplica, by });
  }

  function dispatchChanges(now: number): void {
    mayRouteChanges = false;
    while (changes.length() > 0) {
      const primary = usablePrimary(now);
      if (!primary || !places.hasPlace(primary)) return;
      const request = changes.takeNext(now, (queued) => mayRunAtPrimary(queued, primary));
      if (!request) return;
      run(request, primary, now);
    }
  }

  function run(request: TrackedRequest, member: Member, now: number): void {
    request.phase = 'running';
    request.isBroken = false;
    request.attempt += 1;
    request.member = member.name;
    request.term = termOf(member);
    request.startedAt = now;
    if (request.access !== 'commit') places.takeConnection(member);
    places.startStatement(member);
    const { requestId, attempt } = request;
    emit({ type: 'runStatement', requestId, attempt, member: member.name });
  }

  // End of an attempt

  const finishes: {
    [Kind in StatementResult['kind']]: (
      request: TrackedRequest,
      result: Extract<StatementResult, { kind: Kind }>,
      now: number,
    ) => void;
  } = {
    completed: onCompleted,
    databaseError: onDatabaseError,
    refused: onRefused,
    lost: onLost,
  };

  function onFinished({ requestId, attempt, result }: StatementFinish, now: number): void {
    const request = requests.get(requestId);
    if (request?.phase !== 'running' || request.attempt !== attempt) return;
    const member = members.get(request.member ?? '');
    const isKept = request.access === 'transaction' && result.kind === 'completed';
    if (member) releasePlace(request, member, isKept, now);
    markRoutes();
    const finish = finishes[result.kind] as (
      request: TrackedRequest,
      result: StatementResult,
      now: number,
    ) => void;
    finish(request, result, now);
  }

  function releasePlace(
    request: TrackedRequest,
    member: Member,
    isKept: boolean,
    now: number,
  ): void {
    const milliseconds = now - request.startedAt;
    places.finishStatement(member, milliseconds);
    queueOf(request).recordCompletion(milliseconds, now);
    if (isKept) transactions.set(request.requestId, { member, term: request.term });
    else if (request.access !== 'commit') places.releaseConnection(member);
  }

  function onCompleted(
    request: TrackedRequest,
    result: Extract<StatementResult, { kind: 'completed' }>,
    now: number,
  ): void {
    if (!changesData(request.access)) {
      answer(request, done(undefined));
      return;
    }
    request.phase = 'held';
    request.mayHaveRun = true;
    request.position = result.position;
    request.term = result.position?.term ?? request.term;
    newestHeldQuestionId = nextQuestionId();
    held.hold({
      requestId: request.requestId,
      term: request.term,
      position: result.position,
      firstQuestionId: newestHeldQuestionId,
      completedAt: now,
    });
  }

  /** The database's own error is the answer; nothing was changed that a majority could confirm. */
  function onDatabaseError(request: TrackedRequest): void {
    answer(request, done(undefined));
  }

  const refusals: Record<RefusalReason, (member: Member, now: number) => void> = {
    connectionLimit: (member, now) => {
      places.onConnectionRefused(member, now);
      avoidForAWhile(member, now);
    },
    connectFailed: avoidForAWhile,
    notPrimary: ({ name }) => members.distrust(name, nextQuestionId()),
    stopping: () => {},
  };

  function avoidForAWhile(member: Member, now: number): void {
    Object.assign(member, { avoidUntil: now + REFUSED_CONNECTION_PAUSE_MILLISECONDS });
  }

  /**
   * A refused attempt did not run, so it may be made again, also for a request that is not
   * repeatable: "sent at most once" guards against running twice, and a refusal is the database's or
   * the connection's word that it did not run once.
   */
  function onRefused(
    request: TrackedRequest,
    { reason }: Extract<StatementResult, { kind: 'refused' }>,
    now: number,
  ): void {
    const member = members.get(request.member ?? '');
    if (member) refusals[reason](member, now);
    if (reason === 'stopping') giveUp(request, 'stopping', now);
    else if (request.access === 'commit') giveUp(request, 'refusedByDatabase', now);
    else retry(request, reason, now);
  }

  function onLost(
    request: TrackedRequest,
    { answerStarted }: Extract<StatementResult, { kind: 'lost' }>,
    now: number,
  ): void {
    request.mayHaveRun = true;
    const mayRepeat = !changesData(request.access) && request.isRepeatable && !answerStarted;
    if (mayRepeat) retry(request, 'lost', now);
    else answer(request, leftOpen(request, 'connectionLost', policy.probeIntervalMilliseconds));
  }

  function retry(request: TrackedRequest, reason: string, now: number): void {
    request.avoid = request.member;
    if (!budget.tryRetry(now)) {
      giveUp(request, 'refusedByDatabase', now);
      return;
    }
    const { requestId, attempt } = request;
    record({ name: 'requestRetried', requestId, attempt: attempt + 1, reason });
    request.phase = 'queued';
    queueOf(request).putBack(request);
  }

  function onTransactionFinished(transactionId: string): void {
    const transaction = transactions.get(transactionId);
    if (!transaction) return;
    transactions.delete(transactionId);
    places.releaseConnection(transaction.member);
    markRoutes();
  }

  function onCancelled(requestId: string, now: number): void {
    const request = requests.get(requestId);
    if (!request) return;
    if (request.phase === 'running') abandon(request, now);
    forget(request);
  }

  function abandon(request: TrackedRequest, now: number): void {
    const { requestId, attempt } = request;
    const member = members.get(request.member ?? '');
    if (member) releasePlace(request, member, false, now);
    request.mayHaveRun = true;
    markRoutes();
    emit({ type: 'abandonStatement', requestId, attempt });
  }

  // Answers of members

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
    if (settlement === 'confirmed') options.onConfirmed(waitedMilliseconds);
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

  // Deadlines

  function expire(now: number): void {
    [...reads.expire(now), ...changes.expire(now)].forEach((request) => {
      giveUp(request, reasonOf(request, now), now);
    });
    let request = requests.takeDue(now);
    while (request) {
      if (now >= request.deadlineAt) onDeadline(request, now);
      else mayRouteReads = true;
      request = requests.takeDue(now);
    }
  }

  /**
   * Guards against an answer that never comes: a frozen database keeps its connections open, and the
   * caller would wait for its whole deadline. A read goes to another member. A write stays unknown,
   * and is called so as soon as its primary was replaced; until then the answer may still come.
   */
  function breakSilent(now: number): void {
    members
      .list()
      .filter((member) => places.running(member) > 0 && isSilent(member, now))
      .forEach((member) => breakAttempts(member, now));
  }

  function isSilent(member: Member, now: number): boolean {
    const isFailing = member.failedQuestions >= FAILURES_OF_AN_UNUSABLE_MEMBER;
    return isFailing && now - member.silentSince >= policy.suspicionMilliseconds;
  }

  function breakAttempts(member: Member, now: number): void {
    for (const request of requests.values()) {
      if (request.phase !== 'running' || request.member !== member.name) continue;
      if (!changesData(request.access)) breakAttempt(request);
      else if ((members.knownTerm() ?? 0) > request.term) onReplacedInFlight(request, now);
    }
  }

  /** Whether a part of the answer has reached the caller is known where the connection is owned. */
  function breakAttempt(request: TrackedRequest): void {
    if (request.isBroken) return;
    const { requestId, attempt } = request;
    request.isBroken = true;
    emit({ type: 'abandonStatement', requestId, attempt, reportsLoss: true });
  }

  function onReplacedInFlight(request: TrackedRequest, now: number): void {
    abandon(request, now);
    answer(request, leftOpen(request, 'connectionLost', policy.probeIntervalMilliseconds));
  }

  function onDeadline(request: TrackedRequest, now: number): void {
    if (request.phase === 'running') abandon(request, now);
    giveUp(request, reasonOf(request, now), now);
  }

  function reasonOf(request: TrackedRequest, now: number): NotRunReason {
    if (request.access !== 'read') return usablePrimary(now) ? 'deadline' : 'noPrimary';
    const need = needOf(request, now);
    const isServable = members.list().some((member) => servesBy(member, need) !== undefined);
    return isServable ? 'deadline' : 'noFreshMember';
  }

  // What the engine asks for

  function demand(now: number): StatusDemand {
    const hasHeld = held.size() > 0;
    const openRound = rounds.newestOpen();
    const isUrgent = hasHeld || openRound > 0;
    return {
      fromQuestionId: Math.max(openRound, hasHeld ? newestHeldQuestionId : 0),
      isContinuous: hasHeld || waitsForMembers(now),
      paceMilliseconds: isUrgent
        ? policy.confirmIntervalMilliseconds
        : Math.max(WAITING_PACE_MILLISECONDS, policy.confirmIntervalMilliseconds),
    };
  }

  function waitsForMembers(now: number): boolean {
    if (reads.length() > 0 && readCandidates(now).length > 0) return true;
    if (changes.length() === 0) return false;
    const primary = usablePrimary(now);
    return !primary || places.hasPlace(primary);
  }

  function nextDueAt(): number {
    return Math.min(
      requests.nextDueAt(),
      reads.nextDeadline() ?? Number.POSITIVE_INFINITY,
      changes.nextDeadline() ?? Number.POSITIVE_INFINITY,
    );
  }

  function inFlight(name: string): number {
    const open = [...transactions.values()].filter(({ member }) => member.name === name).length;
    const member = members.get(name);
    return open + (member ? places.running(member) : 0);
  }

  return {
    onArrived,
    onCancelled,
    onFinished,
    onTransactionFinished,
    onAnswered,
    breakSilent,
    expire,
    dispatch,
    demand,
    nextDueAt,
    held,
    inFlight,
    queued: () => looking.size + reads.length() + changes.length(),
  };
}

function changesData(access: Access): boolean {
  return access === 'write' || access === 'commit';
}
