/** A repeatable source of random numbers. @public */
export interface Random {
  /** Uniform in [0, 1). */
  next: () => number;
  /** Whole number from `low` to `high`, both included. */
  between: (low: number, high: number) => number;
  /** Exponentially distributed with the given mean. */
  exponential: (mean: number) => number;
  /** Whether an event of this probability happens. */
  chance: (probability: number) => boolean;
  pick: <T>(items: readonly T[]) => T;
}

/**
 * Creates a random source from a seed (mulberry32).
 *
 * @public
 */
export function createRandom(seed: number): Random {
  /* eslint-disable no-bitwise -- the generator is defined on 32-bit words. */
  let state = seed >>> 0;
  const next = () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  /* eslint-enable no-bitwise */
  const between = (low: number, high: number) => low + Math.floor(next() * (high - low + 1));
  return {
    next,
    between,
    exponential: (mean) => -Math.log(1 - next()) * mean,
    chance: (probability) => next() < probability,
    pick: (items) => items[between(0, items.length - 1)]!,
  };
}
