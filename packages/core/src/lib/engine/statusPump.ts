import type { Member, MemberTable } from './memberTable';
import type { EnginePolicy } from './messages';
import type { QuestionTable } from './questionTable';

/** What waits for answers. @internal */
export interface StatusDemand {
  /** An answer to this question or a later one is waited for; 0 for none. */
  fromQuestionId: number;
  /** Something waits for the members to move on, so each answer is followed by the next question. */
  isContinuous: boolean;
  /** Shortest pause between two questions to a member. */
  paceMilliseconds: number;
}

/** @internal */
export interface StatusPump {
  /**
   * Asks the members whose answer is wanted.
   *
   * @returns when the pump needs to be called again.
   */
  step: (demand: StatusDemand, now: number) => number;
}

/** Status questions to one member that are open at the same time because something waits. */
const MAXIMUM_OPEN_QUESTIONS = 3;
/** Open questions up to which another one is asked for a floor or a confirmation that came later. */
const MAXIMUM_OVERLAPPING = 2;
/** An answer is late after this many usual round trips, and never sooner than the time below. */
const LATE_ROUND_TRIPS = 3;
const SHORTEST_LATENESS_MILLISECONDS = 20;
/** Open questions beyond which a silent member gets no more probes. */
const MAXIMUM_OPEN_PROBES = 8;
/** Failed questions in a row after which a member is asked at the pace of probes only. */
const FAILURES_OF_A_PROBED_MEMBER = 2;
/** Unreachable members are probed faster up to this many refused questions. */
const DOUBTED_QUESTIONS = 5;
const DOUBT_SHARE = 0.5;
/** Half-width of the spread of probes, in proportion to their interval. */
const PROBE_JITTER = 0.25;

interface Schedule {
  lastQuestionId: number;
  lastAskedAt: number;
  nextProbeAt: number;
}

/**
 * Creates the one source of status questions: probes, floor rounds and confirmations share it.
 *
 * Each answer serves everything that was waiting when its question was asked, so the number of
 * questions depends on round trips and not on the number of statements. A member that does not
 * answer twice in a row is asked at the pace of probes only.
 *
 * @internal
 */
export function createStatusPump(options: {
  members: MemberTable;
  questions: QuestionTable;
  policy: EnginePolicy;
  random: () => number;
  ask: (member: Member, now: number) => number;
}): StatusPump {
  const { members, questions, policy, random, ask } = options;
  const schedules = new Map<string, Schedule>();

  function scheduleOf(member: Member): Schedule {
    const known = schedules.get(member.name);
    if (known) return known;
    const schedule = { lastQuestionId: 0, lastAskedAt: Number.NEGATIVE_INFINITY, nextProbeAt: 0 };
    schedules.set(member.name, schedule);
    return schedule;
  }

  function askMember(member: Member, schedule: Schedule, now: number): void {
    const jitter = 1 + PROBE_JITTER * (2 * random() - 1);
    Object.assign(schedule, {
      lastQuestionId: ask(member, now),
      lastAskedAt: now,
      nextProbeAt: now + probeInterval(member) * jitter,
    });
  }

  /** A dead process is told from a passing fault sooner, at the price of a few refused connections. */
  function probeInterval({ unreachableQuestions }: Member): number {
    const isInDoubt = unreachableQuestions > 0 && unreachableQuestions < DOUBTED_QUESTIONS;
    return policy.probeIntervalMilliseconds * (isInDoubt ? DOUBT_SHARE : 1);
  }

  /** A lost question would otherwise keep what waits until its timeout. */
  function isLate(member: Member, schedule: Schedule, now: number): boolean {
    const usual = Math.max(SHORTEST_LATENESS_MILLISECONDS, LATE_ROUND_TRIPS * member.roundTrip);
    return now - schedule.lastAskedAt >= usual;
  }

  function isWanted(
    member: Member,
    schedule: Schedule,
    demand: StatusDemand,
    now: number,
  ): boolean {
    if (member.failedQuestions >= FAILURES_OF_A_PROBED_MEMBER) return false;
    const open = questions.openCount(member.name);
    if (open >= MAXIMUM_OPEN_QUESTIONS) return false;
    if (demand.fromQuestionId > schedule.lastQuestionId) return open < MAXIMUM_OVERLAPPING;
    return demand.isContinuous && (open === 0 || isLate(member, schedule, now));
  }

  function stepMember(member: Member, demand: StatusDemand, now: number): number {
    const schedule = scheduleOf(member);
    if (now >= schedule.nextProbeAt) {
      if (questions.openCount(member.name) < MAXIMUM_OPEN_PROBES) askMember(member, schedule, now);
      else schedule.nextProbeAt = now + policy.probeIntervalMilliseconds;
      return schedule.nextProbeAt;
    }
    if (!isWanted(member, schedule, demand, now)) return schedule.nextProbeAt;
    const earliest = schedule.lastAskedAt + demand.paceMilliseconds;
    if (now < earliest) return Math.min(earliest, schedule.nextProbeAt);
    askMember(member, schedule, now);
    return schedule.nextProbeAt;
  }

  function step(demand: StatusDemand, now: number): number {
    let next = Number.POSITIVE_INFINITY;
    for (const member of members.list()) {
      next = Math.min(next, stepMember(member, demand, now));
    }
    return next;
  }

  return { step };
}
