import type { Member, MemberTable } from './memberTable';
import type { ProbeIntervals } from './probeIntervals';
import type { ControlRequestTable } from './controlRequestTable';

/** What the open requests need from status responses. @internal */
export interface StatusDemand {
  /** A response to this control request or a later one is needed; 0 if none. */
  fromControlRequestId: number;
  /** Whether each response is followed by another request, until the members catch up. */
  isContinuous: boolean;
  /** Minimum interval between two status requests to a member. */
  minimumIntervalMilliseconds: number;
}

/** @internal */
export interface StatusPoller {
  /**
   * Sends the status requests that are due.
   *
   * @returns the time at which to call again, in milliseconds.
   */
  poll: (demand: StatusDemand, now: number) => number;
}

/** Maximum open status requests to a member, including repeats of late ones. */
const MAXIMUM_OPEN_REQUESTS = 3;
/** Maximum open requests when a newer response is needed before the open request completes. */
const MAXIMUM_OPEN_FOR_DEMAND = 2;
/** A response is late after this many round trips, but not before the minimum below. */
const LATE_ROUND_TRIPS = 3;
const MINIMUM_LATENESS_MILLISECONDS = 20;
/** Limit of concurrent status requests beyond which a member is not probed. */
const MAXIMUM_OPEN_PROBES = 8;
/** Consecutive failures after which a member is only probed at the regular interval. */
const FAILURES_BEFORE_PROBES_ONLY = 2;
/** Maximum deviation from the probe interval, as a share of it. */
const PROBE_JITTER = 0.25;

interface Schedule {
  lastRequestId: number;
  lastSentAt: number;
  /** Multiplier of the interval until the next probe. */
  jitter: number;
  /** No probes before this time, set while too many requests are open. */
  suspendedUntil: number;
}

/**
 * Creates the sender of status requests for probes, floor rounds and confirmations.
 *
 * A response serves everything waiting when its request was sent, so statements do not multiply
 * requests.
 *
 * @internal
 */
export function createStatusPoller(options: {
  members: MemberTable;
  requests: ControlRequestTable;
  probeIntervals: ProbeIntervals;
  random: () => number;
  probe: (member: Member, now: number) => number;
}): StatusPoller {
  const { members, requests, probeIntervals, random, probe } = options;
  const schedules = new Map<string, Schedule>();

  function getSchedule(member: Member): Schedule {
    const known = schedules.get(member.name);
    if (known) return known;
    const schedule = {
      lastRequestId: 0,
      lastSentAt: -Infinity,
      jitter: 1,
      suspendedUntil: 0,
    };
    schedules.set(member.name, schedule);
    return schedule;
  }

  function probeMember(member: Member, schedule: Schedule, now: number): void {
    const jitter = 1 + PROBE_JITTER * (2 * random() - 1);
    Object.assign(schedule, {
      lastRequestId: probe(member, now),
      lastSentAt: now,
      jitter,
    });
  }

  /** Calculated on each call, so that a shorter interval takes effect immediately. */
  function getNextProbeAt(member: Member, schedule: Schedule, now: number): number {
    const { lastSentAt, jitter, suspendedUntil } = schedule;
    return Math.max(lastSentAt + probeIntervals.getInterval(member, now) * jitter, suspendedUntil);
  }

  /** Without this check, a lost request would block its waiters until the timeout. */
  function isLate(member: Member, schedule: Schedule, now: number): boolean {
    const usual = Math.max(
      MINIMUM_LATENESS_MILLISECONDS,
      LATE_ROUND_TRIPS * member.smoothedRoundTripMilliseconds,
    );
    return now - schedule.lastSentAt >= usual;
  }

  function isStatusNeeded(
    member: Member,
    schedule: Schedule,
    demand: StatusDemand,
    now: number,
  ): boolean {
    if (member.consecutiveFailures >= FAILURES_BEFORE_PROBES_ONLY) return false;
    const open = requests.countOpen(member.name);
    if (open >= MAXIMUM_OPEN_REQUESTS) return false;
    if (demand.fromControlRequestId > schedule.lastRequestId) return open < MAXIMUM_OPEN_FOR_DEMAND;
    return demand.isContinuous && (open === 0 || isLate(member, schedule, now));
  }

  function pollMember(member: Member, demand: StatusDemand, now: number): number {
    const schedule = getSchedule(member);
    const probeAt = getNextProbeAt(member, schedule, now);
    if (now >= probeAt) {
      if (requests.countOpen(member.name) < MAXIMUM_OPEN_PROBES) probeMember(member, schedule, now);
      else schedule.suspendedUntil = now + probeIntervals.getInterval(member, now);
      return getNextProbeAt(member, schedule, now);
    }
    if (!isStatusNeeded(member, schedule, demand, now)) return probeAt;
    const earliest = schedule.lastSentAt + demand.minimumIntervalMilliseconds;
    if (now < earliest) return Math.min(earliest, probeAt);
    probeMember(member, schedule, now);
    return getNextProbeAt(member, schedule, now);
  }

  function poll(demand: StatusDemand, now: number): number {
    let next = Number.POSITIVE_INFINITY;
    for (const member of members.list()) {
      next = Math.min(next, pollMember(member, demand, now));
    }
    return next;
  }

  return { poll };
}
