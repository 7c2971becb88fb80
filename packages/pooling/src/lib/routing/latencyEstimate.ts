/** Moving average of a member's latency. @public */
export interface LatencyEstimate {
  record: (milliseconds: number, now: number) => void;
  /** Expected latency of an answer, in milliseconds. */
  getCurrent: (now: number) => number;
}

/** Weight of a new sample in the moving average: about twenty samples determine it. */
const SMOOTHING_FACTOR = 0.1;

/**
 * Without new samples, the excess over the initial estimate halves in this time, so that a member
 * that was slow receives statements again.
 */
const DECAY_HALF_LIFE_MILLISECONDS = 2_000;

/** @param initial - estimate before the first sample, in milliseconds. @public */
export function createLatencyEstimate(initial: number): LatencyEstimate {
  let average = initial;
  let recordedAt: number | undefined;

  const getCurrent = (now: number) => {
    if (recordedAt === undefined || average <= initial) return average;
    const remainingFraction = 0.5 ** ((now - recordedAt) / DECAY_HALF_LIFE_MILLISECONDS);
    return initial + (average - initial) * remainingFraction;
  };

  return {
    record: (milliseconds, now) => {
      average = getCurrent(now) + SMOOTHING_FACTOR * (milliseconds - getCurrent(now));
      recordedAt = now;
    },
    getCurrent,
  };
}
