import type { ConnectionOwner } from './connectionOwnership';

/** How often, and for how long, the statements of each owner use the connections of a pool. @public */
export interface OwnerUsage {
  /** Records that a connection was used for `heldMilliseconds` until `now`. */
  record: (owner: ConnectionOwner, heldMilliseconds: number, now: number) => void;
  /** Returns uses per second. */
  getRate: (owner: ConnectionOwner, now: number) => number;
  /** Returns the mean number of connections in use. */
  getLoad: (owner: ConnectionOwner, now: number) => number;
  /** Removes owners without recent uses, so that an idle team occupies no memory. */
  removeIdle: (now: number) => void;
  countOwners: () => number;
}

interface Usage {
  uses: number;
  heldMilliseconds: number;
  updatedAt: number;
}

/**
 * Time constant of the decay. A team with one statement every few seconds has a stable estimate, and
 * the estimate follows a burst within the same time.
 */
const DECAY_MILLISECONDS = 10_000;

/** Decayed number of uses below which an owner is removed: one use, 30 s ago. */
const NEGLIGIBLE_USES = 0.05;

/** Creates an estimate from exponentially decayed sums. @public */
export function createOwnerUsage(): OwnerUsage {
  const usages = new Map<ConnectionOwner, Usage>();

  function decay(usage: Usage, now: number): Usage {
    const factor = Math.exp(-Math.max(0, now - usage.updatedAt) / DECAY_MILLISECONDS);
    const { uses, heldMilliseconds } = usage;
    return {
      uses: uses * factor,
      heldMilliseconds: heldMilliseconds * factor,
      updatedAt: Math.max(now, usage.updatedAt),
    };
  }

  function find(owner: ConnectionOwner, now: number): Usage {
    return decay(usages.get(owner) ?? { uses: 0, heldMilliseconds: 0, updatedAt: now }, now);
  }

  return {
    record: (owner, heldMilliseconds, now) => {
      const usage = find(owner, now);
      usages.set(owner, {
        ...usage,
        uses: usage.uses + 1,
        heldMilliseconds: usage.heldMilliseconds + heldMilliseconds,
      });
    },
    getRate: (owner, now) => (find(owner, now).uses * 1_000) / DECAY_MILLISECONDS,
    getLoad: (owner, now) => find(owner, now).heldMilliseconds / DECAY_MILLISECONDS,
    removeIdle: (now) => {
      for (const owner of [...usages.keys()]) {
        if (find(owner, now).uses < NEGLIGIBLE_USES) usages.delete(owner);
      }
    },
    countOwners: () => usages.size,
  };
}
