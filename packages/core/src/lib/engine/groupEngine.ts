import { createFailoverController } from '../failover/failoverController';
import type { ControlOrder } from '../failover/controlOrder';
import type { FailoverTimes } from '../failover/failoverController';
import { createPrimaryDetector } from '../failover/primaryDetector';
import { createMemberPlaces } from './memberPlaces';
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
import { createProbePace } from './probePace';
import { createQuestionTable } from './questionTable';
import type { Question } from './questionTable';
import { createRequestFlow } from './requestFlow';
import { createStatusPump } from './statusPump';

type Handlers = {
  [Type in EngineEvent['type']]: (event: Extract<EngineEvent, { type: Type }>, now: number) => void;
};

/** The shortest time for which the engine asks to be woken. */
const SHORTEST_TIMER_MILLISECONDS = 1;
/** Part of the suspicion time by which a timer may be late before the instance counts as paused. */
const PAUSE_SHARE = 0.5;
/** Shares of connections change with time alone; this is how often they are worked out anew. */
const SHARE_REFRESH_MILLISECONDS = 500;

/** Times of detection and change of primary, in proportion to the suspicion time. */
const UNCONFIRMED_FACTOR = 1.5;
const STRANDED_FACTOR = 4;
const STAGGER_FACTOR = 0.25;
const CHECK_FACTOR = 0.025;
const LOOK_FACTOR = 0.25;
const RIVAL_FACTOR = 0.5;
const BACKOFF_FACTOR = 0.5;
const FOLLOW_FACTOR = 0.5;
const HANDOVER_GRACE_MILLISECONDS = 1_000;
const SETTLING_MILLISECONDS = 250;
const HANDOVER_MILLISECONDS = 5_000;

/**
 * Creates the decisions for one upstream group at one instance.
 *
 * The engine holds no socket, timer or clock: every input is an event with its time, every order an
 * effect. The first event, whatever it is, starts the probes; `timerFired` does as well as any.
 *
 * @example
 * ```ts
 * const engine = createGroupEngine({ ...options, policy: DEFAULT_ENGINE_POLICY });
 * engine.handle({ type: 'timerFired' }, now).forEach(carryOut);
 * ```
 * @public
 */
export function createGroupEngine(options: GroupEngineOptions): GroupEngine {
  const { group, instance, dataCentre, policy, random } = options;
  const pauseMilliseconds = policy.suspicionMilliseconds * PAUSE_SHARE;
  const members = createMemberTable(options.databases);
  const questions = createQuestionTable();
  const places = createMemberPlaces(instance, options.databases);
  let effects: EngineEffect[] = [];
  let startedAt: number | undefined;
  let timerAt: number | undefined;
  let sharesRefreshedAt = Number.NEGATIVE_INFINITY;

  function emit(effect: EngineEffect): void {
    effects.push(effect);
  }

  function ask(member: Member, now: number): number {
    const { questionId } = questions.add({ kind: 'status', member: member.name, askedAt: now });
    emit({ type: 'askStatus', questionId, member: member.name });
    return questionId;
  }

  function order(draft: ControlOrder, now: number): number {
    const { type: kind, member } = draft;
    const { questionId } = questions.add({ kind, member, askedAt: now });
    emit({ ...draft, questionId });
    return questionId;
  }

  const requests = createRequestFlow({
    policy,
    dataCentre,
    members,
    places,
    nextQuestionId: questions.nextId,
    holdsWrites,
    onConfirmed,
    emit,
  });
  const detector = createPrimaryDetector({
    members,
    times: {
      suspicionMilliseconds: policy.suspicionMilliseconds,
      unconfirmedMilliseconds: policy.suspicionMilliseconds * UNCONFIRMED_FACTOR,
      strandedMilliseconds: policy.suspicionMilliseconds * STRANDED_FACTOR,
      handoverGraceMilliseconds: HANDOVER_GRACE_MILLISECONDS,
    },
    oldestHeldWrite: requests.oldestHeldWrite,
  });
  const failover = createFailoverController({
    group,
    instance,
    members,
    detector,
    times: failoverTimes(policy),
    random,
    nextQuestionId: questions.nextId,
    order,
    askAll: (now) => members.list().forEach((member) => ask(member, now)),
    emit,
    inFlight: requests.inFlight,
  });
  const pace = createProbePace({
    policy,
    members,
    isSteady: () => failover.phase() === 'steady',
  });
  const pump = createStatusPump({ members, questions, pace, random, ask });

  const handlers: Handlers = {
    requestArrived: ({ request }, now) => {
      pace.onRequest(now);
      requests.onArrived(request, now);
    },
    requestCancelled: ({ requestId }, now) => requests.onCancelled(requestId, now),
    statementFinished: (finish, now) => requests.onFinished(finish, now),
    transactionFinished: ({ transactionId }) => requests.onTransactionFinished(transactionId),
    statusAnswered: ({ questionId, status }, now) => {
      const question = questions.take(questionId);
      if (!question) return;
      const { askedAt } = question;
      const member = members.onAnswered({ ...question, status, askedAt, now });
      if (!member) return;
      requests.onAnswered(member, now);
      failover.onAnswered({ ...question, status }, now);
    },
    questionFailed: ({ questionId, reason }, now) => {
      const question = questions.take(questionId);
      if (question) onQuestionFailed(question, reason, now);
    },
    groupChanged: ({ databases }, now) => {
      members.replaceDatabases(databases, now);
      places.onDatabases(databases);
    },
    instancesChanged: ({ liveInstances }, now) => {
      places.onInstances(liveInstances, now);
      failover.onInstances(liveInstances);
    },
    primaryPublished: ({ term }, now) => {
      if (term > members.highestTerm()) members.list().forEach((member) => ask(member, now));
    },
    drainStarted: () => failover.onDrainStarted(),
    timerFired: (_event, now) => {
      timerAt = undefined;
      failover.step(now);
      requests.breakSilent(now);
    },
  };

  function onConfirmed(waitedMilliseconds: number): void {
    detector.onConfirmed(waitedMilliseconds);
  }

  function holdsWrites(): boolean {
    return failover.holdsWrites();
  }

  function onQuestionFailed(
    question: Question,
    reason: 'timeout' | 'unreachable' | 'refused',
    now: number,
  ): void {
    // A refusal is an answer too: the member is there.
    if (reason !== 'refused') members.onFailed({ ...question, reason });
    failover.onFailed({ ...question, reason }, now);
  }

  /**
   * Guards against deposing a healthy primary after a pause of this instance: the silence that it
   * would measure is its own. It shows as a timer that is handled late; every silence then starts
   * anew, so a suspicion needs questions that were asked and failed after the pause.
   */
  function notePause(now: number): void {
    if (startedAt === undefined) {
      startedAt = now;
      members.restartSilences(now);
      return;
    }
    if (timerAt === undefined || now - timerAt <= pauseMilliseconds) return;
    members.restartSilences(now);
    failover.onPaused(now);
  }

  function expireQuestions(now: number): void {
    const askedBy = now - policy.questionTimeoutMilliseconds;
    if ((questions.oldestAskedAt() ?? now) > askedBy) return;
    questions.takeAskedBy(askedBy).forEach((question) => {
      onQuestionFailed(question, 'timeout', now);
    });
  }

  function refreshShares(now: number): void {
    if (now - sharesRefreshedAt < SHARE_REFRESH_MILLISECONDS) return;
    sharesRefreshedAt = now;
    places.refresh(now);
  }

  function advance(now: number): void {
    expireQuestions(now);
    refreshShares(now);
    requests.expire(now);
    requests.dispatch(now);
    const pumpAt = pump.step(requests.demand(now), now);
    setTimer(Math.min(pumpAt, nextDueAt(now)), now);
  }

  function nextDueAt(now: number): number {
    const oldest = questions.oldestAskedAt();
    const timeoutAt = oldest === undefined ? Infinity : oldest + policy.questionTimeoutMilliseconds;
    const failoverAt = failover.nextDueAt();
    return Math.min(requests.nextDueAt(), timeoutAt, failoverAt > now ? failoverAt : Infinity);
  }

  /** A timer that is due earlier stays: waking once too often costs less than an order each time. */
  function setTimer(at: number, now: number): void {
    const due = Math.max(at, now + SHORTEST_TIMER_MILLISECONDS);
    if (timerAt !== undefined && timerAt > now && timerAt <= due) return;
    timerAt = due;
    emit({ type: 'setTimer', at: due });
  }

  function handle(event: EngineEvent, now: number): EngineEffect[] {
    effects = [];
    notePause(now);
    const handler = handlers[event.type] as (event: EngineEvent, now: number) => void;
    handler(event, now);
    advance(now);
    return effects;
  }

  function view(now: number): GroupEngineView {
    const primary = members.primary();
    const list = members.list();
    return {
      group,
      term: members.highestTerm(),
      primary: primary?.name,
      phase: failover.phase(),
      queued: requests.queued(),
      running: list.reduce((sum, member) => sum + places.running(member), 0),
      members: list.map((member) => viewMember(member, primary, now)),
    };
  }

  function viewMember(member: Member, primary: Member | undefined, now: number): MemberView {
    const { name, database, status, answeredAt } = member;
    return {
      name,
      dataCentre: database.dataCentre,
      role: roleOf(member, primary),
      applied: status?.applied,
      silentMilliseconds: answeredAt === undefined ? undefined : now - answeredAt,
      connectionShare: places.allowedConnections(member),
      running: places.running(member),
      isLeaving: database.leaving,
    };
  }

  return { handle, view };
}

function roleOf(member: Member, primary: Member | undefined): MemberView['role'] {
  if (!member.status) return 'unknown';
  return member === primary ? 'primary' : 'replica';
}

function failoverTimes(policy: EnginePolicy): FailoverTimes {
  const { suspicionMilliseconds, questionTimeoutMilliseconds } = policy;
  return {
    checkMilliseconds: suspicionMilliseconds * CHECK_FACTOR,
    staggerMilliseconds: suspicionMilliseconds * STAGGER_FACTOR,
    lookMilliseconds: suspicionMilliseconds * LOOK_FACTOR,
    questionTimeoutMilliseconds,
    rivalMilliseconds: questionTimeoutMilliseconds * RIVAL_FACTOR,
    backoffMilliseconds: suspicionMilliseconds * BACKOFF_FACTOR,
    followMilliseconds: suspicionMilliseconds * FOLLOW_FACTOR,
    settlingMilliseconds: SETTLING_MILLISECONDS,
    handoverMilliseconds: HANDOVER_MILLISECONDS,
  };
}
