/** How pauses grow after failures in a row; times in milliseconds. @public */
export interface BackOffTimes {
  initialMilliseconds: number;
  maximumMilliseconds: number;
}

/**
 * The pause before the next attempt: doubled with each failure up to a maximum, of which a random
 * half is taken off, so that instances that failed together do not come back together.
 *
 * @param options.failures - failures in a row so far, at least 1.
 * @param options.random - a number in [0, 1).
 * @public
 */
export function backOffMilliseconds(options: {
  failures: number;
  random: number;
  times: BackOffTimes;
}): number {
  const { failures, random, times } = options;
  const doubled = times.initialMilliseconds * 2 ** Math.min(failures - 1, 30);
  const longest = Math.min(times.maximumMilliseconds, doubled);
  return longest * (1 - random / 2);
}

/**
 * A pause that varies by half its length to either side, so that polls of many instances spread.
 *
 * @param options.random - a number in [0, 1).
 * @public
 */
export function jitterMilliseconds(options: { milliseconds: number; random: number }): number {
  return options.milliseconds * (0.5 + options.random);
}
