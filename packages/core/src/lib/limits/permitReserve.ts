/** Permits that an instance holds for operations of one team. @public */
export interface PermitReserve {
  /** Uses one permit. @returns false if none is valid. */
  take: (now: number) => boolean;
  /** @param expiresAt - monotonic time in milliseconds. */
  add: (count: number, expiresAt: number) => void;
  count: (now: number) => number;
  /**
   * Records an operation that needs a permit.
   *
   * @returns the number of permits to hold in addition, so that the next operations need not wait.
   */
  recordDemand: (now: number, lifetimeMilliseconds: number) => number;
  clear: () => void;
}

/** Largest number of permits kept for operations to come; those that expire are lost to the team. */
const MAXIMUM_RESERVE = 8;

/** Permits are kept for the operations expected within this part of their lifetime. */
const RESERVED_LIFETIME_FRACTION = 0.5;

const INITIAL_INTERVAL_MILLISECONDS = 2_000;
const SMOOTHING_FACTOR = 1 / 8;

/** @public */
export function createPermitReserve(): PermitReserve {
  let batches: { count: number; expiresAt: number }[] = [];
  let lastDemandAt = -Infinity;
  let meanInterval = INITIAL_INTERVAL_MILLISECONDS;

  const dropExpired = (now: number) => {
    batches = batches.filter(({ count, expiresAt }) => count > 0 && expiresAt > now);
  };

  return {
    take: (now) => {
      dropExpired(now);
      const [batch] = batches;
      if (!batch) return false;
      batch.count -= 1;
      return true;
    },
    add: (count, expiresAt) => {
      if (count > 0) batches.push({ count, expiresAt });
    },
    count: (now) => {
      dropExpired(now);
      return batches.reduce((sum, batch) => sum + batch.count, 0);
    },
    recordDemand: (now, lifetimeMilliseconds) => {
      const interval = Math.min(INITIAL_INTERVAL_MILLISECONDS, now - lastDemandAt);
      meanInterval += SMOOTHING_FACTOR * (interval - meanInterval);
      lastDemandAt = now;
      const horizon = lifetimeMilliseconds * RESERVED_LIFETIME_FRACTION;
      return Math.min(MAXIMUM_RESERVE, Math.floor(horizon / Math.max(1, meanInterval)));
    },
    clear: () => {
      batches = [];
    },
  };
}
