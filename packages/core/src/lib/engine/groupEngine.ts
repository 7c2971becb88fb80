import { createFailoverController } from '../failover/failoverController';
import type { FailoverCommand } from '../failover/failoverCommand';
import type { FailoverTimes } from '../failover/failoverController';
import { createPrimaryFailureDetector } from '../failover/primaryFailureDetector';
import { createAgeClock } from '../timing/ageClock';
import type { ClockReadings } from '../timing/clockReadings';
import { createMemberCapacity } from './memberCapacity';
import { getMemberSet } from './memberSet';
import { createMemberTable } from './memberTable';
import type { Member } from './memberTable';
import type {
  EngineEffect,
  EngineEvent,
  EnginePolicy,
  GroupEngine,
  GroupEngineOptions,
  GroupEngineView,
  MemberView,
} from './messages';
import { createProbeIntervals } from './probeIntervals';
import { createControlRequestTable } from './controlRequestTable';
import type { ControlRequest } from './controlRequestTable';
import { createRequestFlow } from './requestFlow';
import { createStatusPoller } from './statusPoller';

type Handlers = {
  [Type in EngineEvent['type']]: (event: Extract<EngineEvent, { type: Type }>, now: number) => void;
};

const MINIMUM_TIMER_MILLISECONDS = 1;
/** A timer overdue by more than this fraction of the suspicion time shows a pause of the process. */
const PAUSE_DETECTION_FACTOR = 0.5;
/** Connection shares change over time without events, so they are recalculated periodically. */
const SHARE_REFRESH_MILLISECONDS = 500;

/** Failover times as multiples of the suspicion time, or of the request timeout for competitors. */
const UNCONFIRMED_TIMEOUT_FACTOR = 1.5;
const STRANDED_TIMEOUT_FACTOR = 4;
const STAGGER_DELAY_FACTOR = 0.25;
const PRIMARY_CHECK_INTERVAL_FACTOR = 0.025;
const MINIMUM_ANSWER_TIMEOUT_FACTOR = 0.25;
const COMPETITOR_PRECEDENCE_FACTOR = 0.5;
const BACKOFF_DELAY_FACTOR = 0.5;
const FOLLOW_INTERVAL_FACTOR = 0.5;

/** Fixed delays of a planned handover. */
const HANDOVER_ANNOUNCEMENT_MILLISECONDS = 1_000;
const OTHER_INSTANCES_DRAIN_MILLISECONDS = 250;
const OWN_DRAIN_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Creates the engine that routes requests and manages failover for one upstream group.
 *
 * The engine performs no I/O and reads no clock: inputs are timestamped events, outputs are effects.
 * The first event of any type starts probing.
 *
 * @example
 * ```ts
 * const engine = createGroupEngine({ ...options, policy: DEFAULT_ENGINE_POLICY });
 * engine.handle({ type: 'timerFired' }, readClocks()).forEach(applyEffect);
 * ```
 * @public
 */
export function createGroupEngine(options: GroupEngineOptions): GroupEngine {
  const { group, instance, dataCentre, policy, random } = options;
  const pauseMilliseconds = policy.suspicionMilliseconds * PAUSE_DETECTION_FACTOR;
  const members = createMemberTable(options.databases, options.memberSet);
  const ageClock = createAgeClock();
  const controlRequests = createControlRequestTable();
  const capacity = createMemberCapacity(instance, options.databases);
  let effects: EngineEffect[] = [];
  let startedAt: number | undefined;
  let timerAt: number | undefined;
  let sharesRefreshedAt = Number.NEGATIVE_INFINITY;
  let establishedMemberSet: number | undefined;

  function emit(effect: EngineEffect): void {
    effects.push(effect);
  }

  function probe(member: Member, now: number): number {
    const { questionId } = controlRequests.add({
      kind: 'status',
      member: member.name,
      sentAt: now,
      askedAt: ageClock.now(),
    });
    emit({ type: 'askStatus', questionId, member: member.name });
    return questionId;
  }

  function sendCommand(draft: FailoverCommand, now: number): number {
    const { type: kind, member } = draft;
    const askedAt = ageClock.now();
    const { questionId } = controlRequests.add({ kind, member, sentAt: now, askedAt });
    emit({ ...draft, questionId });
    return questionId;
  }

  const requests = createRequestFlow({
    policy,
    dataCentre,
    members,
    capacity,
    ageClock,
    peekNextControlRequestId: controlRequests.peekNextId,
    isBlockingWrites,
    onConfirmed,
    emit,
  });
  const detector = createPrimaryFailureDetector({
    members,
    times: {
      suspicionMilliseconds: policy.suspicionMilliseconds,
      unconfirmedMilliseconds: policy.suspicionMilliseconds * UNCONFIRMED_TIMEOUT_FACTOR,
      strandedMilliseconds: policy.suspicionMilliseconds * STRANDED_TIMEOUT_FACTOR,
      handoverAnnouncementMilliseconds: HANDOVER_ANNOUNCEMENT_MILLISECONDS,
    },
    getOldestUnconfirmedWrite: requests.getOldestUnconfirmedWrite,
  });
  const failover = createFailoverController({
    group,
    instance,
    members,
    detector,
    times: createFailoverTimes(policy),
    random,
    peekNextControlRequestId: controlRequests.peekNextId,
    sendCommand,
    probeAll: (now) => members.list().forEach((member) => probe(member, now)),
    emit,
    countInFlight: requests.countInFlight,
  });
  const probeIntervals = createProbeIntervals({
    policy,
    members,
    isSteady: () => failover.getPhase() === 'steady',
  });
  const poller = createStatusPoller({
    members,
    requests: controlRequests,
    probeIntervals,
    random,
    probe,
  });

  const handlers: Handlers = {
    requestArrived: ({ request }, now) => {
      probeIntervals.onRequest(now);
      requests.onArrived(request, now);
    },
    requestCancelled: ({ requestId }, now) => requests.onCancelled(requestId, now),
    statementFinished: (finished, now) => requests.onFinished(finished, now),
    answerContinued: (attempt, now) => requests.onAnswerContinued(attempt, now),
    transactionFinished: ({ transactionId }) => requests.onTransactionFinished(transactionId),
    statusAnswered: ({ questionId, status }, now) => {
      const controlRequest = controlRequests.take(questionId);
      if (!controlRequest) return;
      const member = members.onAnswered({ ...controlRequest, status, now });
      if (!member) return;
      requests.onAnswered(member, now);
      failover.onAnswered({ ...controlRequest, status }, now);
    },
    questionFailed: ({ questionId, reason }, now) => {
      const controlRequest = controlRequests.take(questionId);
      if (controlRequest) onControlRequestFailed(controlRequest, reason, now);
    },
    groupChanged: ({ databases, memberSet = members.getMemberSet() }, now) => {
      const hasChanged = members.replaceDatabases(databases, memberSet, now);
      capacity.onDatabasesChanged(databases);
      if (hasChanged) failover.onMembersChanged(now);
    },
    instancesChanged: ({ liveInstances }, now) => {
      capacity.onInstancesChanged(liveInstances, now);
      failover.onInstancesChanged(liveInstances);
    },
    primaryPublished: ({ term }, now) => {
      if (term > members.getHighestTerm()) members.list().forEach((member) => probe(member, now));
    },
    drainStarted: () => failover.onDrainStarted(),
    timerFired: (_event, now) => {
      timerAt = undefined;
      failover.step(now);
      requests.cancelSilentAttempts(now);
    },
  };

  function onConfirmed(waitedMilliseconds: number): void {
    detector.onConfirmed(waitedMilliseconds);
  }

  function isBlockingWrites(): boolean {
    return failover.isBlockingWrites();
  }

  function onControlRequestFailed(
    controlRequest: ControlRequest,
    reason: 'timeout' | 'unreachable' | 'refused',
    now: number,
  ): void {
    // A member that refuses a command is reachable, so this is not a failed probe.
    if (reason !== 'refused') members.onFailed({ ...controlRequest, reason });
    failover.onFailed({ ...controlRequest, reason }, now);
  }

  /**
   * Starts failure detection at the first event. Restarts it after a pause of this process (shown by
   * a late timer), since unread responses must not depose a healthy primary.
   */
  function detectPause(now: number): void {
    if (startedAt === undefined) {
      startedAt = now;
      members.resetSilences(now);
      return;
    }
    if (timerAt === undefined || now - timerAt <= pauseMilliseconds) return;
    members.resetSilences(now);
    failover.onPaused(now);
  }

  function expireControlRequests(now: number): void {
    const sentBy = now - policy.questionTimeoutMilliseconds;
    if ((controlRequests.getOldestSentAt() ?? now) > sentBy) return;
    controlRequests.takeSentBy(sentBy).forEach((controlRequest) => {
      onControlRequestFailed(controlRequest, 'timeout', now);
    });
  }

  function refreshShares(now: number): void {
    if (now - sharesRefreshedAt < SHARE_REFRESH_MILLISECONDS) return;
    sharesRefreshedAt = now;
    capacity.refresh(now);
  }

  /**
   * Time limits of what was sent are enforced at timer events alone, which follow the reading of all
   * data that has arrived. After a pause of the process, the answers to overdue statements may be in
   * that data.
   */
  function advance(now: number, isTimerEvent: boolean): void {
    if (isTimerEvent) expireControlRequests(now);
    refreshShares(now);
    requests.expireQueued(now);
    if (isTimerEvent) requests.expireDue(now);
    requests.dispatch(now);
    const pollAt = poller.poll(requests.getStatusDemand(now), now);
    setTimer(Math.min(pollAt, getNextDueAt(now)), now);
  }

  /**
   * An overdue failover waits for responses, and each response or probe timer checks it again; a
   * timer of its own would fire every millisecond.
   */
  function getNextDueAt(now: number): number {
    const oldest = controlRequests.getOldestSentAt();
    const timeoutAt = oldest === undefined ? Infinity : oldest + policy.questionTimeoutMilliseconds;
    const failoverAt = failover.getNextDueAt();
    return Math.min(requests.getNextDueAt(), timeoutAt, failoverAt > now ? failoverAt : Infinity);
  }

  /** Keeps a timer that is due earlier: a spurious wake-up costs less than resetting it each time. */
  function setTimer(at: number, now: number): void {
    const due = Math.max(at, now + MINIMUM_TIMER_MILLISECONDS);
    if (timerAt !== undefined && timerAt > now && timerAt <= due) return;
    timerAt = due;
    emit({ type: 'setTimer', at: due });
  }

  function handle(event: EngineEvent, readings: ClockReadings): EngineEffect[] {
    const { monotonic: now } = readings;
    effects = [];
    ageClock.advance(readings);
    detectPause(now);
    const handler = handlers[event.type] as (event: EngineEvent, now: number) => void;
    handler(event, now);
    advance(now, event.type === 'timerFired');
    return effects;
  }

  /** Once established, a member set stays so; later terms start from logs that contain its term. */
  function findEstablishedMemberSet(): number | undefined {
    const established = members.findEstablishedPrimary();
    if (established) {
      establishedMemberSet = Math.max(
        establishedMemberSet ?? 0,
        getMemberSet(established.currentTerm),
      );
    }
    return establishedMemberSet;
  }

  function createView(now: number): GroupEngineView {
    const primary = members.getPrimary();
    const list = members.list();
    return {
      group,
      term: members.getHighestTerm(),
      primary: primary?.name,
      phase: failover.getPhase(),
      memberSet: members.getMemberSet(),
      establishedMemberSet: findEstablishedMemberSet(),
      queued: requests.countQueued(),
      running: list.reduce((sum, member) => sum + capacity.countRunning(member), 0),
      members: list.map((member) => createMemberView(member, primary, now)),
    };
  }

  function createMemberView(member: Member, primary: Member | undefined, now: number): MemberView {
    const { name, database, status, newestAnsweredRequestSentAt } = member;
    return {
      name,
      dataCentre: database.dataCentre,
      role: getRole(member, primary),
      applied: status?.applied,
      silentMilliseconds:
        newestAnsweredRequestSentAt === undefined ? undefined : now - newestAnsweredRequestSentAt,
      connectionShare: capacity.getAllowedConnections(member),
      running: capacity.countRunning(member),
      isLeaving: database.leaving,
    };
  }

  return { handle, view: createView };
}

function getRole(member: Member, primary: Member | undefined): MemberView['role'] {
  if (!member.status) return 'unknown';
  return member === primary ? 'primary' : 'replica';
}

function createFailoverTimes(policy: EnginePolicy): FailoverTimes {
  const { suspicionMilliseconds, questionTimeoutMilliseconds } = policy;
  return {
    checkMilliseconds: suspicionMilliseconds * PRIMARY_CHECK_INTERVAL_FACTOR,
    staggerMilliseconds: suspicionMilliseconds * STAGGER_DELAY_FACTOR,
    minimumAnswerTimeoutMilliseconds: suspicionMilliseconds * MINIMUM_ANSWER_TIMEOUT_FACTOR,
    questionTimeoutMilliseconds,
    competitorMilliseconds: questionTimeoutMilliseconds * COMPETITOR_PRECEDENCE_FACTOR,
    backoffMilliseconds: suspicionMilliseconds * BACKOFF_DELAY_FACTOR,
    followMilliseconds: suspicionMilliseconds * FOLLOW_INTERVAL_FACTOR,
    otherInstancesDrainMilliseconds: OTHER_INSTANCES_DRAIN_MILLISECONDS,
    ownDrainTimeoutMilliseconds: OWN_DRAIN_TIMEOUT_MILLISECONDS,
  };
}
