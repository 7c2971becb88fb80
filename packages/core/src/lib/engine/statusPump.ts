import type { Member, MemberTable } from './memberTable';
import type { ProbePace } from './probePace';
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
/** Half-width of the spread of probes, in proportion to their interval. */
const PROBE_JITTER = 0.25;

interface Schedule {
  lastQuestionId: number;
  lastAskedAt: number;
  /** Factor on the pause until the next probe. */
  jitter: number;
  /** No probe before this time, while too many are open. */
  heldUntil: number;
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
  pace: ProbePace;
  random: () => number;
  ask: (member: Member, now: number) => number;
}): StatusPump {
  const { members, questions, pace, random, ask } = options;
  const schedules = new Map<string, Schedule>();

  function scheduleOf(member: Member): Schedule {
    const known = schedules.get(member.name);
    if (known) return known;
    const schedule = { lastQuestionId: 0, lastAskedAt: -Infinity, jitter: 1, heldUntil: 0 };
    schedules.set(member.name, schedule);
    return schedule;
  }

  function askMember(member: Member, schedule: Schedule, now: number): void {
    const jitter = 1 + PROBE_JITTER * (2 * random() - 1);
    Object.assign(schedule, { lastQuestionId: ask(member, now), lastAskedAt: now, jitter });
  }

  /** Worked out anew each time, so that a faster pace holds at once. */
  function nextProbeAt(member: Member, schedule: Schedule, now: number): number {
    const { lastAskedAt, jitter, heldUntil } = schedule;
    return Math.max(lastAskedAt + pace.interval(member, now) * jitter, heldUntil);
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
    const probeAt = nextProbeAt(member, schedule, now);
    if (now >= probeAt) {
      if (questions.openCount(member.name) < MAXIMUM_OPEN_PROBES) askMember(member, schedule, now);
      else schedule.heldUntil = now + pace.interval(member, now);
      return nextProbeAt(member, schedule, now);
    }
    if (!isWanted(member, schedule, demand, now)) return probeAt;
    const earliest = schedule.lastAskedAt + demand.paceMilliseconds;
    if (now < earliest) return Math.min(earliest, probeAt);
    askMember(member, schedule, now);
    return nextProbeAt(member, schedule, now);
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
