/** Sustained rate and size of a token bucket. @public */
export interface BucketSize {
  /** Tokens added per second. */
  rate: number;
  /** Largest number of tokens, which can be taken at once. */
  capacity: number;
}

/** Admits `rate` operations per second, and up to `capacity` at once after a pause. @public */
export interface TokenBucket {
  /**
   * Takes up to `count` whole tokens.
   *
   * @param now - monotonic time in milliseconds.
   * @returns the number of tokens taken.
   */
  take: (count: number, now: number) => number;
  /** Applies a changed size; tokens beyond a lower capacity are lost. */
  resize: (size: BucketSize, now: number) => void;
  /** Returns the milliseconds until a whole token is available; Infinity if there will be none. */
  estimateDelay: (now: number) => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Tolerates rounding: a token that is due must be granted when `estimateDelay` has passed. */
const ROUNDING_TOLERANCE = 1e-6;

/** @param options.tokens - initial number of tokens, at most the capacity. @public */
export function createTokenBucket(options: {
  size: BucketSize;
  tokens: number;
  now: number;
}): TokenBucket {
  let { size } = options;
  let tokens = Math.min(options.tokens, size.capacity);
  let updatedAt = options.now;

  function refill(now: number): void {
    const added = (Math.max(0, now - updatedAt) * size.rate) / MILLISECONDS_PER_SECOND;
    tokens = Math.min(size.capacity, tokens + added);
    updatedAt = Math.max(updatedAt, now);
  }

  return {
    take: (count, now) => {
      refill(now);
      const taken = Math.min(count, Math.floor(tokens + ROUNDING_TOLERANCE));
      tokens = Math.max(0, tokens - taken);
      return taken;
    },
    resize: (next, now) => {
      refill(now);
      size = next;
      tokens = Math.min(tokens, next.capacity);
    },
    estimateDelay: (now) => {
      refill(now);
      if (tokens + ROUNDING_TOLERANCE >= 1) return 0;
      if (size.rate === 0 || size.capacity < 1) return Infinity;
      return ((1 - tokens) * MILLISECONDS_PER_SECOND) / size.rate;
    },
  };
}
