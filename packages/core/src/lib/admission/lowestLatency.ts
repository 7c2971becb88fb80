/** The lowest latency of the last 10 to 20 s, which approximates that of an unloaded member. */
export interface LowestLatency {
  record: (milliseconds: number, now: number) => void;
  /** Milliseconds; undefined before the first latency. */
  get: () => number | undefined;
}

const PERIOD_MILLISECONDS = 10_000;

/**
 * Creates an estimate of the latency without a queue.
 *
 * The estimate falls at once and rises by at most `maximumRise` milliseconds per 10 s. A queue that
 * stands for a whole period would otherwise become the estimate, and the limit would no longer
 * detect it.
 */
export function createLowestLatency(getMaximumRise: () => number): LowestLatency {
  let lowest: number | undefined;
  let lowestInPeriod = Infinity;
  let periodEndsAt = -Infinity;

  const startPeriod = (now: number) => {
    if (lowest !== undefined && lowestInPeriod !== Infinity) {
      lowest = Math.min(lowestInPeriod, lowest + getMaximumRise());
    }
    lowestInPeriod = Infinity;
    periodEndsAt = now + PERIOD_MILLISECONDS;
  };

  return {
    record: (milliseconds, now) => {
      if (now >= periodEndsAt) startPeriod(now);
      lowestInPeriod = Math.min(lowestInPeriod, milliseconds);
      lowest = Math.min(lowest ?? Infinity, milliseconds);
    },
    get: () => lowest,
  };
}
