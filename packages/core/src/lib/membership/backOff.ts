/** Settings of exponential back-off. @public */
export interface BackOffTimes {
  initialMilliseconds: number;
  maximumMilliseconds: number;
}

/**
 * Computes the pause before the next attempt: exponential back-off with jitter of up to a half, to
 * avoid synchronized retries of many instances.
 *
 * @param options.failures - consecutive failures, at least 1.
 * @param options.random - a number in [0, 1).
 * @returns the pause in milliseconds.
 * @public
 */
export function computeBackOffMilliseconds(options: {
  failures: number;
  random: number;
  times: BackOffTimes;
}): number {
  const { failures, random, times } = options;
  const doubledMilliseconds = times.initialMilliseconds * 2 ** Math.min(failures - 1, 30);
  const maximumPauseMilliseconds = Math.min(times.maximumMilliseconds, doubledMilliseconds);
  return maximumPauseMilliseconds * (1 - random / 2);
}

/**
 * Varies a pause by up to half its length, to spread the polls of many instances.
 *
 * @param options.random - a number in [0, 1).
 * @returns the pause in milliseconds.
 * @public
 */
export function applyJitter(options: { milliseconds: number; random: number }): number {
  return options.milliseconds * (0.5 + options.random);
}
