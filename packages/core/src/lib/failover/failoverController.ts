import type { MemberStatus } from '@wisterialift/schema';
import type { ControlRequestKind } from '../engine/controlRequestTable';
import { getTerm } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';
import type { EngineEffect, EngineRecord } from '../engine/messages';
import type { VoteCount } from '../engine/voters';
import { chooseCandidate, createBallot } from './ballot';
import type { Ballot } from './ballot';
import type { FailoverCommand } from './failoverCommand';
import { createFailoverLifecycle } from './failoverMachine';
import type { FailoverPhase, Suspicion } from './failoverMachine';
import { createMemberAttachment } from './memberAttachment';
import { DEAD_MEMBER_CONNECTION_REFUSALS } from './primaryFailureDetector';
import type { PrimaryFailureDetector } from './primaryFailureDetector';
import { createFailoverCoordination } from './failoverCoordination';
import type { CoordinationTimes } from './failoverCoordination';
import { createVoterNaming } from './voterNaming';

/** @internal */
export interface FailoverController {
  step: (now: number) => void;
  onAnswered: (answer: FailoverAnswer, now: number) => void;
  onFailed: (failure: FailoverFailure, now: number) => void;
  onPaused: (now: number) => void;
  onInstancesChanged: (liveInstances: string[]) => void;
  onDrainStarted: () => void;
  /** Called after members were added, removed or moved. */
  onMembersChanged: (now: number) => void;
  getPhase: () => FailoverPhase;
  /** Whether writes are kept in the queue because the primary is about to be replaced. */
  isBlockingWrites: () => boolean;
  getNextDueAt: () => number;
}

/** @internal */
export interface FailoverAnswer {
  questionId: number;
  kind: ControlRequestKind;
  member: string;
  status: MemberStatus;
}

/** @internal */
export interface FailoverFailure {
  questionId: number;
  kind: ControlRequestKind;
  member: string;
  reason: 'timeout' | 'unreachable' | 'refused';
}

/** @internal */
export interface FailoverTimes extends CoordinationTimes {
  /** Interval between checks for a failed primary in the phase `steady`. */
  checkMilliseconds: number;
  /** Lower limit of the response timeout during verification, fencing and promotion. */
  minimumAnswerTimeoutMilliseconds: number;
  questionTimeoutMilliseconds: number;
  /** Mean interval between two follow commands to the same member, and between two that name voters. */
  followMilliseconds: number;
  /** Extra delay of a planned handover, for work in flight at other instances. */
  otherInstancesDrainMilliseconds: number;
  /** How long a planned handover waits for this instance's own work in flight. */
  ownDrainTimeoutMilliseconds: number;
}

interface FailoverControllerOptions {
  group: string;
  instance: string;
  members: MemberTable;
  detector: PrimaryFailureDetector;
  times: FailoverTimes;
  random: () => number;
  peekNextControlRequestId: () => number;
  /** Sends a command and returns its control request identifier. */
  sendCommand: (command: FailoverCommand, now: number) => number;
  probeAll: (now: number) => void;
  emit: (effect: EngineEffect) => void;
  /** Open transactions plus running statements at the member; a running COMMIT counts in both. */
  countInFlight: (member: string) => number;
}

/** Maximum number of promote commands per promotion; the command is idempotent. */
const MAXIMUM_PROMOTION_ATTEMPTS = 3;
/** Maximum number of terms tried before backing off. */
const MAXIMUM_FENCE_ATTEMPTS = 3;

/** Time allowed for a response, in round trips. */
const ANSWER_TIMEOUT_ROUND_TRIPS = 3;

/** Causes for which the failover waits for all grants, to choose the best candidate. */
const NON_URGENT_CAUSES = new Set(['leaving', 'membersChanged', 'stranded', 'absent']);

/** Causes for which work at the primary ends first and new writes are held back. */
const PLANNED_CAUSES = new Set(['leaving', 'membersChanged']);

/**
 * Creates the controller that replaces a failed or leaving primary.
 *
 * Prevents two primaries from both acknowledging writes: a member grants each term to one instance
 * only and then refuses the log of lower terms, so at most one instance obtains a majority for a term
 * and the old primary can no longer get writes acknowledged. A lost response is not a grant: the
 * member may have granted the term to another instance.
 *
 * @internal
 */
export function createFailoverController(options: FailoverControllerOptions): FailoverController {
  const { members, detector, times, sendCommand, emit } = options;
  const lifecycle = createFailoverLifecycle();
  const coordination = createFailoverCoordination(options);
  const attachment = createMemberAttachment({ ...options, ...times });
  const voterNaming = createVoterNaming({ ...options, ...times });
  let isDraining = false;
  let ballot: Ballot = createBallot();
  let fenceAttempts = 0;
  let promotionAttempts = 0;
  let promotionSentAt = 0;
  let suspectedSince = 0;
  let silentSince = 0;
  let learnedTerm = 0;
  let checkedAt = Number.NEGATIVE_INFINITY;
  let checkedPrimary: Member | undefined;

  function record(entry: EngineRecord): void {
    emit({ type: 'record', record: entry });
  }

  function clearSuspicion(now: number): void {
    const { suspicion } = lifecycle.getContext();
    if (suspicion) record({ name: 'suspicionCleared', member: suspicion.member });
    lifecycle.send({ type: 'CLEARED' });
    ballot = createBallot();
    suspectedSince = now;
  }

  function failAttempt(now: number): void {
    lifecycle.send({
      type: 'FAILED',
      dueAt: now + coordination.computeBackoffDelay(lifecycle.getContext().failures),
    });
    ballot = createBallot();
  }

  function onSteady(now: number): void {
    if (isDraining) return;
    const suspicion = detector.findSuspicion(now);
    if (!suspicion) return;
    suspectedSince = now;
    silentSince = members.get(suspicion.member)?.silentSince ?? now;
    record({ name: 'primarySuspected', ...suspicion });
    lifecycle.send({ type: 'SUSPECTED', suspicion, dueAt: now + computeFailoverDelay(suspicion) });
  }

  /** A planned handover gives other instances time to finish their work at the primary. */
  function computeFailoverDelay({ cause }: Suspicion): number {
    const otherInstancesDrain = PLANNED_CAUSES.has(cause)
      ? times.otherInstancesDrainMilliseconds
      : 0;
    return coordination.computeStaggerDelay() + otherInstancesDrain;
  }

  function getSuspicion(): Suspicion {
    return lifecycle.getContext().suspicion as Suspicion;
  }

  function onSuspecting(now: number): void {
    const suspicion = getSuspicion();
    if (isDraining || !detector.isStillSuspected(suspicion, now)) {
      clearSuspicion(now);
      return;
    }
    if (now < lifecycle.getContext().dueAt || hasWorkToFinish(suspicion, now)) return;
    if (coordination.hasCompetitor(now)) return;
    const fromControlRequestId = options.peekNextControlRequestId();
    lifecycle.send({
      type: 'VERIFICATION_STARTED',
      fromControlRequestId,
      dueAt: now + computeAnswerTimeout(members.get(suspicion.member)),
    });
    options.probeAll(now);
  }

  function computeAnswerTimeout(member: Member | undefined): number {
    const roundTrip = member?.smoothedRoundTripMilliseconds ?? 0;
    return Math.max(times.minimumAnswerTimeoutMilliseconds, ANSWER_TIMEOUT_ROUND_TRIPS * roundTrip);
  }

  /** A planned handover waits a limited time for this instance's own work in flight. */
  function hasWorkToFinish({ cause, member }: Suspicion, now: number): boolean {
    if (!PLANNED_CAUSES.has(cause) || options.countInFlight(member) === 0) return false;
    return now - suspectedSince < times.ownDrainTimeoutMilliseconds;
  }

  /**
   * Verifies the suspicion with new status requests, since earlier observations may be outdated.
   *
   * Only members to be fenced count towards the majority. Otherwise the response of an isolated
   * primary could end the verification before a replica reports that it was promoted already.
   */
  function onVerifying(now: number): void {
    const suspicion = getSuspicion();
    if (isDraining || !detector.isStillSuspected(suspicion, now)) {
      clearSuspicion(now);
      return;
    }
    const { dueAt, fromControlRequestId } = lifecycle.getContext();
    const fresh = findFenceTargets(suspicion).filter(
      (member) => member.statusControlRequestId >= fromControlRequestId,
    );
    const votes = members.countVotesOrAll(fresh.flatMap(({ status }) => status ?? []));
    const hasTime = now < dueAt;
    const isFullWaitNeeded = suspicion.cause === 'silent' && !isSuspectUnreachable();
    if (hasTime && (isFullWaitNeeded || !votes.isMajority)) return;
    fenceAttempts = 0;
    if (votes.isMajority && !coordination.hasCompetitor(now)) startFence(suspicion, now);
    else failAttempt(now);
  }

  /** A refused connection means that no delayed response can arrive. */
  function isSuspectUnreachable(): boolean {
    const suspect = members.get(getSuspicion().member);
    return (
      suspect !== undefined && suspect.consecutiveUnreachable >= DEAD_MEMBER_CONNECTION_REFUSALS
    );
  }

  function startFence(suspicion: Suspicion, now: number): void {
    const term = coordination.reserveTerm();
    const targets = findFenceTargets(suspicion);
    const dueAt = now + Math.max(...targets.map(computeAnswerTimeout));
    lifecycle.send({ type: 'VERIFIED', term, dueAt });
    ballot = createBallot();
    targets.forEach((member) => {
      ballot.open.set(sendCommand({ type: 'fence', member: member.name, term }, now), member.name);
    });
  }

  /**
   * Excludes an isolated primary: its log end is the highest, so its grant would make it the
   * candidate again. Its unreplicated entries are discarded.
   */
  function findFenceTargets({ cause, member }: Suspicion): Member[] {
    if (cause !== 'unconfirmed') return [...members.list()];
    return members.list().filter(({ name }) => name !== member);
  }

  function onFencing(now: number): void {
    const { term, dueAt } = lifecycle.getContext();
    const majority = members.getMajority();
    const granted = ballot.grants.size;
    if (
      countGrants().isMajority &&
      (!canWaitForAllGrants() || ballot.open.size === 0 || now >= dueAt)
    ) {
      startPromotion(now);
      return;
    }
    const canStillWin = granted + ballot.open.size >= majority && now < dueAt;
    if (canStillWin) return;
    record({ name: 'fenceFailed', term, granted, needed: majority });
    if (takeFenceAttempt(now)) startFence(getSuspicion(), now);
    else failAttempt(now);
  }

  function countGrants(): VoteCount {
    return members.countVotesOrAll([...ballot.grants.values()]);
  }

  /**
   * Counts the failed fence and returns whether to start another one.
   *
   * Lost responses are retried immediately with a higher term, because members that granted this one
   * can no longer follow the old primary. A refusal indicates a competitor and requires back-off.
   */
  function takeFenceAttempt(now: number): boolean {
    fenceAttempts += 1;
    if (ballot.hasRefusal || fenceAttempts >= MAXIMUM_FENCE_ATTEMPTS) return false;
    return (
      !isDraining &&
      !coordination.hasCompetitor(now) &&
      detector.isStillSuspected(getSuspicion(), now)
    );
  }

  function canWaitForAllGrants(): boolean {
    return NON_URGENT_CAUSES.has(getSuspicion().cause);
  }

  function startPromotion(now: number): void {
    const { term } = lifecycle.getContext();
    const grants = countGrants();
    record({ name: 'termFenced', term, members: grants.statuses.map(({ member }) => member) });
    const candidate = chooseCandidate({ grants, isDeprioritized });
    promotionAttempts = 0;
    ballot.open.clear();
    lifecycle.send({
      type: 'FENCED',
      candidate,
      dueAt: now + MAXIMUM_PROMOTION_ATTEMPTS * times.questionTimeoutMilliseconds,
    });
    sendPromotion(now);
  }

  function isDeprioritized(name: string): boolean {
    const { member: suspect, cause } = getSuspicion();
    if (members.get(name)?.database.leaving) return true;
    if (cause === 'membersChanged') return name !== suspect;
    return cause !== 'stranded' && name === suspect;
  }

  function sendPromotion(now: number): void {
    const { candidate, term } = lifecycle.getContext();
    promotionAttempts += 1;
    const questionId = sendCommand({ type: 'promote', member: candidate, term }, now);
    ballot.open.set(questionId, candidate);
    promotionSentAt = now;
  }

  function onPromoting(now: number): void {
    const { term, candidate, dueAt } = lifecycle.getContext();
    const primary = members.get(candidate);
    if (primary?.status?.role === 'primary' && primary.status.currentTerm === term) {
      finishPromotion(primary, now);
      return;
    }
    if (members.getHighestTerm() > term || now >= dueAt) failAttempt(now);
    else if (isPromotionLate(primary, now)) sendPromotion(now);
  }

  /** The promote command is idempotent, so it is resent before its timeout to shorten the outage. */
  function isPromotionLate(candidate: Member | undefined, now: number): boolean {
    if (promotionAttempts >= MAXIMUM_PROMOTION_ATTEMPTS) return false;
    return now - promotionSentAt >= computeAnswerTimeout(candidate);
  }

  function finishPromotion(primary: Member, now: number): void {
    const { term } = lifecycle.getContext();
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
    ballot = createBallot();
  }

  const phaseHandlers: Record<FailoverPhase, (now: number) => void> = {
    steady: onSteady,
    suspecting: onSuspecting,
    looking: onVerifying,
    fencing: onFencing,
    promoting: onPromoting,
  };

  /** Limits checks in the phase `steady`, because status responses are frequent. */
  function canSkipCheck(now: number): boolean {
    const isSettled = lifecycle.getPhase() === 'steady' && members.getPrimary() === checkedPrimary;
    return isSettled && now < checkedAt + times.checkMilliseconds;
  }

  function step(now: number): void {
    if (canSkipCheck(now)) return;
    checkedAt = now;
    coordination.observeTerms(now);
    checkedPrimary = members.getPrimary();
    phaseHandlers[lifecycle.getPhase()](now);
    learnPrimary();
    if (lifecycle.getPhase() === 'fencing') return;
    attachment.attach(now);
    voterNaming.nameVoters(now);
  }

  function learnPrimary(): void {
    const primary = members.getPrimary();
    if (!primary || getTerm(primary) <= learnedTerm) return;
    if (learnedTerm > 0) detector.onPrimaryChanged();
    learnedTerm = getTerm(primary);
    record({ name: 'primaryLearned', term: learnedTerm, member: primary.name });
  }

  function onAnswered(answer: FailoverAnswer, now: number): void {
    if (answer.kind === 'fence' && ballot.open.delete(answer.questionId)) {
      const isGrant = answer.status.currentTerm === lifecycle.getContext().term;
      if (isGrant) ballot.grants.set(answer.member, answer.status);
    }
    if (answer.kind === 'follow') {
      record({ name: 'memberAttached', term: answer.status.currentTerm, member: answer.member });
    }
    if (answer.kind === 'nameVoters') {
      const { currentTerm: term, voters } = answer.status;
      record({ name: 'votersNamed', term, incarnations: voters?.incarnations ?? {} });
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
    if (reason === 'refused') failAttempt(now);
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
    onInstancesChanged: coordination.onInstancesChanged,
    onDrainStarted: () => {
      isDraining = true;
    },
    onMembersChanged: (now) => {
      // Grants of the former members are no majority of the present ones.
      if (lifecycle.getPhase() === 'fencing') failAttempt(now);
    },
    getPhase: lifecycle.getPhase,
    isBlockingWrites: () => {
      const phase = lifecycle.getPhase();
      if (phase === 'fencing' || phase === 'promoting') return true;
      return phase !== 'steady' && PLANNED_CAUSES.has(getSuspicion().cause);
    },
    getNextDueAt: () => lifecycle.getContext().dueAt,
  };
}
