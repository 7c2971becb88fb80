/** @public */
export interface LatencyEstimate {
  record: (milliseconds: number, now: number) => void;
  /** Expected time of an answer, in milliseconds. */
  current: (now: number) => number;
}

/** Weight of one answer: about twenty answers make the estimate. */
const SAMPLE_WEIGHT = 0.1;

/**
 * An estimate without answers falls to its best by half in this time, so that a member that was slow
 * is tried again; about as long as a slow spell that is worth leaving alone.
 */
const FORGET_HALF_TIME_MILLISECONDS = 2_000;

/** @param initial - what to expect before the first answer, in milliseconds. @public */
export function createLatencyEstimate(initial: number): LatencyEstimate {
  let average = initial;
  let recordedAt: number | undefined;

  const current = (now: number) => {
    if (recordedAt === undefined || average <= initial) return average;
    const kept = 0.5 ** ((now - recordedAt) / FORGET_HALF_TIME_MILLISECONDS);
    return initial + (average - initial) * kept;
  };

  return {
    record: (milliseconds, now) => {
      average = current(now) + SAMPLE_WEIGHT * (milliseconds - current(now));
      recordedAt = now;
    },
    current,
  };
}
