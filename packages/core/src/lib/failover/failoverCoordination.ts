import { getTermBefore } from '../engine/memberSet';
import type { MemberTable } from '../engine/memberTable';
import { orderByRendezvous } from '../membership/rendezvous';

/** Coordinates failovers between instances that detect the same failure. @internal */
export interface FailoverCoordination {
  onInstancesChanged: (liveInstances: string[]) => void;
  /** Returns the delay before this instance starts a failover, in milliseconds. */
  computeStaggerDelay: () => number;
  /** Returns the delay after a failed failover, in milliseconds. */
  computeBackoffDelay: (failures: number) => number;
  /** Reserves and returns a term of the member set in use, above all seen or proposed here. */
  reserveTerm: () => number;
  /** Detects terms fenced by other instances. */
  observeTerms: (now: number) => void;
  /** Whether another instance recently fenced a term; this instance then does not fence. */
  hasCompetitor: (now: number) => boolean;
}

/** @internal */
export interface CoordinationTimes {
  /** Delay between instances that are adjacent in rendezvous order. */
  staggerMilliseconds: number;
  /** How long a failover of another instance has precedence. */
  competitorMilliseconds: number;
  /** Base of the random delay after a failed failover. */
  backoffMilliseconds: number;
}

const MAXIMUM_BACKOFF_FACTOR = 4;

/**
 * Staggers failovers of several instances to avoid conflicts.
 *
 * Safety does not depend on it: if instance lists differ, the terms of the members decide.
 *
 * @internal
 */
export function createFailoverCoordination(options: {
  group: string;
  instance: string;
  members: MemberTable;
  times: CoordinationTimes;
  random: () => number;
}): FailoverCoordination {
  const { group, instance, members, times, random } = options;
  let liveInstances: string[] = [];
  let highestProposed = 0;
  let highestSeen = 0;
  let competitorSeenAt = Number.NEGATIVE_INFINITY;

  /** Instances with the same list agree on the order, which changes with the term. */
  function computeStaggerDelay(): number {
    const key = `${group}/${members.getHighestTerm()}`;
    const names = liveInstances.includes(instance) ? liveInstances : [...liveInstances, instance];
    const rank = orderByRendezvous({ key, names }).indexOf(instance);
    return (rank + random() / 4) * times.staggerMilliseconds;
  }

  /** Grows with each failure and is random, so that competing instances do not collide again. */
  function computeBackoffDelay(failures: number): number {
    const factor = Math.min(MAXIMUM_BACKOFF_FACTOR, 1 + failures);
    return times.backoffMilliseconds * factor * (0.25 + random());
  }

  function reserveTerm(): number {
    const lowest = getTermBefore(members.getMemberSet());
    highestProposed = Math.max(members.getHighestTerm(), highestProposed, lowest) + 1;
    return highestProposed;
  }

  function observeTerms(now: number): void {
    const term = members.getHighestTerm();
    if (term > highestSeen && highestSeen > 0 && term > highestProposed) competitorSeenAt = now;
    highestSeen = Math.max(highestSeen, term);
  }

  return {
    onInstancesChanged: (names) => {
      liveInstances = names;
    },
    computeStaggerDelay,
    computeBackoffDelay,
    reserveTerm,
    observeTerms,
    hasCompetitor: (now) => now - competitorSeenAt < times.competitorMilliseconds,
  };
}
