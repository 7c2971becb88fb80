import type { MemberStatus } from '@wisterialift/schema';
import { termOf } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';
import type { EngineEffect, EngineRecord } from '../engine/messages';
import { chooseCandidate, emptyBallot } from './ballot';
import type { Ballot } from './ballot';
import type { ControlOrder } from './controlOrder';
import { createFailoverLifecycle } from './failoverMachine';
import type { FailoverPhase, Suspicion } from './failoverMachine';
import { createMemberAttachment } from './memberAttachment';
import { REFUSALS_OF_A_DEAD_MEMBER } from './primaryDetector';
import type { PrimaryDetector } from './primaryDetector';
import { createTurnOrder } from './turnOrder';
import type { TurnTimes } from './turnOrder';

/** @internal */
export interface FailoverController {
  step: (now: number) => void;
  onAnswered: (answer: FailoverAnswer, now: number) => void;
  onFailed: (failure: FailoverFailure, now: number) => void;
  onPaused: (now: number) => void;
  onInstances: (liveInstances: string[]) => void;
  onDrainStarted: () => void;
  phase: () => FailoverPhase;
  /** Whether writes wait because the present primary is about to be replaced. */
  holdsWrites: () => boolean;
  nextDueAt: () => number;
}

/** @internal */
export interface FailoverAnswer {
  questionId: number;
  kind: 'status' | 'fence' | 'promote' | 'follow';
  member: string;
  status: MemberStatus;
}

/** @internal */
export interface FailoverFailure {
  questionId: number;
  kind: 'status' | 'fence' | 'promote' | 'follow';
  member: string;
  reason: 'timeout' | 'unreachable' | 'refused';
}

/** Times of a change of primary, in milliseconds. @internal */
export interface FailoverTimes extends TurnTimes {
  /** Between two looks for a failed primary while the group is well. */
  checkMilliseconds: number;
  /** Shortest time of the look before a fence at a silent primary. */
  lookMilliseconds: number;
  questionTimeoutMilliseconds: number;
  /** Pause between two orders to follow to the same member. */
  followMilliseconds: number;
  /** Time that a planned change of primary leaves to the work of other instances. */
  settlingMilliseconds: number;
  /** How long a planned change of primary waits for this instance's own work in flight. */
  handoverMilliseconds: number;
}

interface Options {
  group: string;
  instance: string;
  members: MemberTable;
  detector: PrimaryDetector;
  times: FailoverTimes;
  random: () => number;
  nextQuestionId: () => number;
  /** Sends an order and returns its question identifier. */
  order: (order: ControlOrder, now: number) => number;
  askAll: (now: number) => void;
  emit: (effect: EngineEffect) => void;
  /** Work of this instance in flight at the member. */
  inFlight: (member: string) => number;
}

/** Lost answers to a promotion after which it is given up; the order itself is idempotent. */
const PROMOTION_ATTEMPTS = 3;
/** Terms that are fenced one after the other before the next back-off. */
const FENCE_ATTEMPTS = 3;

/** Round trips within which an answer comes, unless it was lost. */
const ROUND_TRIPS_OF_AN_ANSWER = 3;

/** Causes for which every answer is waited for, so that the best successor can be chosen. */
const CAUSES_WITHOUT_HASTE = new Set(['leaving', 'stranded', 'absent']);

/**
 * Creates the controller that changes the primary.
 *
 * Guards against two primaries that both acknowledge, which would show as a record that one caller
 * was told is kept and another reads as absent. A member grants a term once, and only above the term
 * it has recorded; so of all promoters of a term at most one holds a majority of grants, and each
 * majority refuses the log of lower terms from then on. A lost answer to a fence is no grant: the
 * member may have granted the same term to another instance. Then a higher term is tried.
 *
 * The candidate holds every acknowledged write: its log end is at or above that of every member of
 * some granting majority, and each acknowledged write is held by a member of that majority.
 *
 * @internal
 */
export function createFailoverController(options: Options): FailoverController {
  const { members, detector, times, order, emit } = options;
  const lifecycle = createFailoverLifecycle();
  const turns = createTurnOrder(options);
  const attachment = createMemberAttachment({ ...options, ...times });
  let isDraining = false;
  let ballot: Ballot = emptyBallot();
  let fenceAttempts = 0;
  let promotionAttempts = 0;
  let promotionOrderedAt = 0;
  let suspectedSince = 0;
  let silentSince = 0;
  let learnedTerm = 0;
  let checkedAt = Number.NEGATIVE_INFINITY;
  let checkedPrimary: Member | undefined;

  function record(entry: EngineRecord): void {
    emit({ type: 'record', record: entry });
  }

  function clear(now: number): void {
    const { suspicion } = lifecycle.context();
    if (suspicion) record({ name: 'suspicionCleared', member: suspicion.member });
    lifecycle.send({ type: 'CLEARED' });
    ballot = emptyBallot();
    suspectedSince = now;
  }

  function fail(now: number): void {
    lifecycle.send({
      type: 'FAILED',
      dueAt: now + turns.backoffDelay(lifecycle.context().failures),
    });
    ballot = emptyBallot();
  }

  function onSteady(now: number): void {
    if (isDraining) return;
    const suspicion = detector.findSuspicion(now);
    if (!suspicion) return;
    suspectedSince = now;
    silentSince = members.get(suspicion.member)?.silentSince ?? now;
    record({ name: 'primarySuspected', ...suspicion });
    lifecycle.send({ type: 'SUSPECTED', suspicion, dueAt: now + turnDelay(suspicion) });
  }

  /** A planned change leaves the other instances time to finish what they have at the primary. */
  function turnDelay({ cause }: Suspicion): number {
    const settling = cause === 'leaving' ? times.settlingMilliseconds : 0;
    return turns.staggerDelay() + settling;
  }

  function suspicionOf(): Suspicion {
    return lifecycle.context().suspicion as Suspicion;
  }

  function onSuspecting(now: number): void {
    const suspicion = suspicionOf();
    if (isDraining || !detector.stillStands(suspicion, now)) {
      clear(now);
      return;
    }
    if (now < lifecycle.context().dueAt || mustFinishFirst(suspicion, now)) return;
    if (turns.hasRival(now)) return;
    const fromQuestionId = options.nextQuestionId();
    lifecycle.send({
      type: 'TURN_CAME',
      fromQuestionId,
      dueAt: now + answerTime(members.get(suspicion.member)),
    });
    options.askAll(now);
  }

  /** Long enough for an answer over the link to the member as it was, with room for variation. */
  function answerTime(member: Member | undefined): number {
    const roundTrip = member?.roundTrip ?? 0;
    return Math.max(times.lookMilliseconds, ROUND_TRIPS_OF_AN_ANSWER * roundTrip);
  }

  /** A planned change cuts nothing: it waits for what this instance has in flight, for a time. */
  function mustFinishFirst({ cause, member }: Suspicion, now: number): boolean {
    if (cause !== 'leaving' || options.inFlight(member) === 0) return false;
    return now - suspectedSince < times.handoverMilliseconds;
  }

  /**
   * Looks again with questions asked now. Guards against what was seen before a pause or through a
   * lossy link: a primary that answers here keeps its place.
   * The majority is one of the members that will be fenced: with the answer of a cut primary in place
   * of a replica's, the look would end before it hears that this replica is the next primary already,
   * and its term would be taken away; it shows as two promotions in a row.
   */
  function onLooking(now: number): void {
    const suspicion = suspicionOf();
    if (isDraining || !detector.stillStands(suspicion, now)) {
      clear(now);
      return;
    }
    const { dueAt, fromQuestionId } = lifecycle.context();
    const fresh = fenceTargets(suspicion).filter(
      (member) => member.statusQuestionId >= fromQuestionId,
    );
    const hasMajority = fresh.length >= members.majority();
    const hasTime = now < dueAt;
    const needsWholeLook = suspicion.cause === 'silent' && !hasRefusedLook();
    if (hasTime && (needsWholeLook || !hasMajority)) return;
    fenceAttempts = 0;
    if (hasMajority && !turns.hasRival(now)) startFence(suspicion, now);
    else fail(now);
  }

  /** Nothing listens at the suspect's address: there is no slow answer to wait for. */
  function hasRefusedLook(): boolean {
    const suspect = members.get(suspicionOf().member);
    return suspect !== undefined && suspect.unreachableQuestions >= REFUSALS_OF_A_DEAD_MEMBER;
  }

  function startFence(suspicion: Suspicion, now: number): void {
    const term = turns.nextTerm();
    const targets = fenceTargets(suspicion);
    const dueAt = now + Math.max(...targets.map(answerTime));
    lifecycle.send({ type: 'UPHELD', term, dueAt });
    ballot = emptyBallot();
    targets.forEach((member) => {
      ballot.open.set(order({ type: 'fence', member: member.name, term }, now), member.name);
    });
  }

  /**
   * A primary that is cut from its group is left out: with the highest log end it would have to be
   * chosen again. Without its grant its extra entries, which nobody else holds, are discarded.
   */
  function fenceTargets({ cause, member }: Suspicion): Member[] {
    if (cause !== 'unconfirmed') return [...members.list()];
    return members.list().filter(({ name }) => name !== member);
  }

  function onFencing(now: number): void {
    const { term, dueAt } = lifecycle.context();
    const majority = members.majority();
    const granted = ballot.grants.size;
    if (granted >= majority && (!isWorthWaiting() || ballot.open.size === 0 || now >= dueAt)) {
      startPromotion(now);
      return;
    }
    const canStillWin = granted + ballot.open.size >= majority && now < dueAt;
    if (canStillWin) return;
    record({ name: 'fenceFailed', term, granted, needed: majority });
    if (mayFenceAgain(now)) startFence(suspicionOf(), now);
    else fail(now);
  }

  /**
   * Answers that got lost call for the next term at once: the fence reached the primary too and was
   * a fresh question to it, and the member that granted can follow no lower term any more. A refusal
   * shows a rival, and then the back-off comes first.
   */
  function mayFenceAgain(now: number): boolean {
    fenceAttempts += 1;
    if (ballot.hasRefusal || fenceAttempts >= FENCE_ATTEMPTS) return false;
    return !isDraining && !turns.hasRival(now) && detector.stillStands(suspicionOf(), now);
  }

  function isWorthWaiting(): boolean {
    return CAUSES_WITHOUT_HASTE.has(suspicionOf().cause);
  }

  function startPromotion(now: number): void {
    const { term } = lifecycle.context();
    const granted = [...ballot.grants.keys()];
    record({ name: 'termFenced', term, members: granted });
    const candidate = chooseCandidate({ ballot, majority: members.majority(), isUnwanted });
    promotionAttempts = 0;
    ballot.open.clear();
    lifecycle.send({
      type: 'FENCED',
      candidate,
      dueAt: now + PROMOTION_ATTEMPTS * times.questionTimeoutMilliseconds,
    });
    orderPromotion(now);
  }

  function isUnwanted(name: string): boolean {
    const { member: suspect, cause } = suspicionOf();
    if (members.get(name)?.database.leaving) return true;
    return cause !== 'stranded' && name === suspect;
  }

  function orderPromotion(now: number): void {
    const { candidate, term } = lifecycle.context();
    promotionAttempts += 1;
    const questionId = order({ type: 'promote', member: candidate, term }, now);
    ballot.open.set(questionId, candidate);
    promotionOrderedAt = now;
  }

  function onPromoting(now: number): void {
    const { term, candidate, dueAt } = lifecycle.context();
    const primary = members.get(candidate);
    if (primary?.status?.role === 'primary' && primary.status.currentTerm === term) {
      finishPromotion(primary, now);
      return;
    }
    if (members.highestTerm() > term || now >= dueAt) fail(now);
    else if (isPromotionLate(primary, now)) orderPromotion(now);
  }

  /** The order to promote is idempotent, so it is repeated before its timeout: writes are waiting. */
  function isPromotionLate(candidate: Member | undefined, now: number): boolean {
    if (promotionAttempts >= PROMOTION_ATTEMPTS) return false;
    return now - promotionOrderedAt >= answerTime(candidate);
  }

  function finishPromotion(primary: Member, now: number): void {
    const { term } = lifecycle.context();
    record({
      name: 'primaryPromoted',
      term,
      member: primary.name,
      silentMilliseconds: now - silentSince,
    });
    learnedTerm = Math.max(learnedTerm, term);
    detector.onPrimaryChanged();
    emit({ type: 'publishPrimary', term, primary: primary.name });
    lifecycle.send({ type: 'PROMOTED' });
    ballot = emptyBallot();
  }

  const phaseHandlers: Record<FailoverPhase, (now: number) => void> = {
    steady: onSteady,
    suspecting: onSuspecting,
    looking: onLooking,
    fencing: onFencing,
    promoting: onPromoting,
  };

  /** While nothing is wrong, answers come by the thousand and need no look each. */
  function isQuiet(now: number): boolean {
    const isSettled = lifecycle.phase() === 'steady' && members.primary() === checkedPrimary;
    return isSettled && now < checkedAt + times.checkMilliseconds;
  }

  function step(now: number): void {
    if (isQuiet(now)) return;
    checkedAt = now;
    turns.watchRivals(now);
    checkedPrimary = members.primary();
    phaseHandlers[lifecycle.phase()](now);
    learnPrimary();
    if (lifecycle.phase() !== 'fencing') attachment.attach(now);
  }

  function learnPrimary(): void {
    const primary = members.primary();
    if (!primary || termOf(primary) <= learnedTerm) return;
    if (learnedTerm > 0) detector.onPrimaryChanged();
    learnedTerm = termOf(primary);
    record({ name: 'primaryLearned', term: learnedTerm, member: primary.name });
  }

  function onAnswered(answer: FailoverAnswer, now: number): void {
    if (answer.kind === 'fence' && ballot.open.delete(answer.questionId)) {
      const isGrant = answer.status.currentTerm === lifecycle.context().term;
      if (isGrant) ballot.grants.set(answer.member, answer.status);
    }
    if (answer.kind === 'follow') {
      record({ name: 'memberAttached', term: answer.status.currentTerm, member: answer.member });
    }
    step(now);
  }

  function onFailed({ kind, questionId, reason }: FailoverFailure, now: number): void {
    if (!ballot.open.delete(questionId)) return;
    if (reason === 'refused') ballot.hasRefusal = true;
    if (kind === 'promote') onPromotionFailed(reason, now);
    else step(now);
  }

  function onPromotionFailed(reason: FailoverFailure['reason'], now: number): void {
    if (reason === 'refused') fail(now);
    else step(now);
  }

  return {
    step,
    onAnswered,
    onFailed,
    onPaused: (now) => {
      detector.onPaused(now);
      lifecycle.send({ type: 'PAUSED' });
    },
    onInstances: turns.onInstances,
    onDrainStarted: () => {
      isDraining = true;
    },
    phase: lifecycle.phase,
    holdsWrites: () => {
      const phase = lifecycle.phase();
      if (phase === 'fencing' || phase === 'promoting') return true;
      return phase !== 'steady' && suspicionOf().cause === 'leaving';
    },
    nextDueAt: () => lifecycle.context().dueAt,
  };
}
