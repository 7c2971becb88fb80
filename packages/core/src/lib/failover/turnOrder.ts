import type { MemberTable } from '../engine/memberTable';
import { orderByRendezvous } from '../membership/rendezvous';

/** When this instance may change the primary, where several see the same fault. @internal */
export interface TurnOrder {
  onInstances: (liveInstances: string[]) => void;
  /** Time until this instance's turn, in milliseconds. */
  staggerDelay: () => number;
  /** Pause after a change of primary that came to nothing. */
  backoffDelay: (failures: number) => number;
  /** This instance fences the returned term next: above all that it has seen or tried. */
  nextTerm: () => number;
  /** Takes note of terms that others have fenced. */
  watchRivals: (now: number) => void;
  /** Whether another instance is changing the primary; its promotion would only be undone. */
  hasRival: (now: number) => boolean;
}

/** Times of the turns, in milliseconds. @internal */
export interface TurnTimes {
  /** Between the turns of two instances next to each other in rendezvous order. */
  staggerMilliseconds: number;
  /** How long another instance that has fenced is given to promote. */
  rivalMilliseconds: number;
  /** Middle of the random pause after a change of primary that came to nothing. */
  backoffMilliseconds: number;
}

const LARGEST_BACKOFF_FACTOR = 4;

/**
 * Creates the order in which instances change the primary. It only saves duels: with lists that
 * differ or lag two instances may act at once, and the members' terms decide between them.
 *
 * @internal
 */
export function createTurnOrder(options: {
  group: string;
  instance: string;
  members: MemberTable;
  times: TurnTimes;
  random: () => number;
}): TurnOrder {
  const { group, instance, members, times, random } = options;
  let liveInstances: string[] = [];
  let highestBid = 0;
  let highestSeen = 0;
  let rivalSeenAt = Number.NEGATIVE_INFINITY;

  /** Instances with the same list agree on the order of turns; the term makes it differ each time. */
  function staggerDelay(): number {
    const key = `${group}/${members.highestTerm()}`;
    const names = liveInstances.includes(instance) ? liveInstances : [...liveInstances, instance];
    const rank = orderByRendezvous({ key, names }).indexOf(instance);
    return (rank + random() / 4) * times.staggerMilliseconds;
  }

  /** Random, and wider with each failure, so that two promoters drift apart. */
  function backoffDelay(failures: number): number {
    const factor = Math.min(LARGEST_BACKOFF_FACTOR, 1 + failures);
    return times.backoffMilliseconds * factor * (0.25 + random());
  }

  function nextTerm(): number {
    highestBid = Math.max(members.highestTerm(), highestBid) + 1;
    return highestBid;
  }

  function watchRivals(now: number): void {
    const term = members.highestTerm();
    if (term > highestSeen && highestSeen > 0 && term > highestBid) rivalSeenAt = now;
    highestSeen = Math.max(highestSeen, term);
  }

  return {
    onInstances: (names) => {
      liveInstances = names;
    },
    staggerDelay,
    backoffDelay,
    nextTerm,
    watchRivals,
    hasRival: (now) => now - rivalSeenAt < times.rivalMilliseconds,
  };
}
