import { describe, expect, it } from 'vitest';
import { computeLimitShare, createPermitReserve, createTokenBucket } from '../index';
import type { LimitTolerance, RateLimit } from '../index';

const TOLERANCE: LimitTolerance = { windowMilliseconds: 5_000, excess: 0.1, slack: 20 };

/** Largest number of operations of a team that any window may contain. */
function computeBound({ rate, burst }: RateLimit): number {
  const window = TOLERANCE.windowMilliseconds / 1_000;
  return (rate * window + burst) * (1 + TOLERANCE.excess) + TOLERANCE.slack;
}

function findBusiestWindow(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  let busiest = 0;
  let first = 0;
  for (const [index, time] of sorted.entries()) {
    while (time - sorted[first]! > TOLERANCE.windowMilliseconds) first += 1;
    busiest = Math.max(busiest, index - first + 1);
  }
  return busiest;
}

/**
 * Plays allocators that are asked all the time, and instances that use each permit as late as they may.
 *
 * @param options.restarts - times at which all allocators restart.
 */
function playGreedyCallers(options: {
  limit: RateLimit;
  count: number;
  restarts: readonly number[];
  seconds: number;
}): number[] {
  const { limit, count, restarts, seconds } = options;
  const share = computeLimitShare({ limit, count, tolerance: TOLERANCE });
  const createBucket = (now: number) =>
    createTokenBucket({ size: share.size, tokens: share.initialTokens, now });
  const operations: number[] = [];
  for (let allocator = 0; allocator < count; allocator += 1) {
    let bucket = createTokenBucket({ size: share.size, tokens: share.size.capacity, now: 0 });
    for (let now = 0; now < seconds * 1_000; now += 10) {
      if (restarts.includes(now)) bucket = createBucket(now);
      const taken = bucket.take(1_000, now);
      // Kept permits are used together at the end of their lifetime, the worst case for a window.
      const keptUntil =
        Math.ceil(now / share.permitLifetimeMilliseconds) * share.permitLifetimeMilliseconds;
      for (let permit = 0; permit < taken; permit += 1) operations.push(keptUntil);
    }
  }
  return operations;
}

describe('the shares of a limit', () => {
  const limits: RateLimit[] = [
    { rate: 115, burst: 115 },
    { rate: 4, burst: 4 },
    { rate: 1, burst: 40 },
    { rate: 900, burst: 0 },
    { rate: 0, burst: 0 },
  ];
  const counts = [1, 3, 6, 8];
  const restarts = [[], [4_000], [4_000, 6_500], [4_000, 9_000]];

  it.each(limits)('keep $rate a second with a burst of $burst in every window', (limit) => {
    // Guards against a team that exceeds its limit when those who share it out restart.
    for (const count of counts) {
      for (const restartTimes of restarts) {
        const played = playGreedyCallers({ limit, count, restarts: restartTimes, seconds: 15 });
        expect(findBusiestWindow(played)).toBeLessThanOrEqual(computeBound(limit));
      }
    }
  });

  it('admit the whole rate, however many share it', () => {
    // Guards against a limiter that keeps the limit by refusing what is within it.
    for (const count of counts) {
      const limit = { rate: 60, burst: 60 };
      const played = playGreedyCallers({ limit, count, restarts: [], seconds: 15 });
      expect(played.length).toBeGreaterThanOrEqual(limit.rate * 14);
    }
  });

  it('let each allocator grant a whole operation of a small team', () => {
    const share = computeLimitShare({
      limit: { rate: 3, burst: 2 },
      count: 6,
      tolerance: TOLERANCE,
    });
    expect(share.size.capacity).toBeGreaterThanOrEqual(1);
  });

  it('admit nothing beyond the limit where nothing is tolerated', () => {
    const tolerance = { windowMilliseconds: 5_000, excess: 0, slack: 0 };
    const share = computeLimitShare({ limit: { rate: 10, burst: 10 }, count: 2, tolerance });
    expect(share).toEqual({
      size: { rate: 5, capacity: 5 },
      initialTokens: 0,
      permitLifetimeMilliseconds: 0,
    });
  });
});

describe('a token bucket', () => {
  it('grants a token once its stated delay has passed', () => {
    const bucket = createTokenBucket({ size: { rate: 3, capacity: 1 }, tokens: 0, now: 0 });
    const delay = bucket.estimateDelay(0);
    expect(bucket.take(1, delay - 1)).toBe(0);
    expect(bucket.take(1, delay)).toBe(1);
  });

  it('loses what is beyond a lower capacity, and keeps the rest', () => {
    // Guards against a lowered limit that binds only once the former burst is used up.
    const bucket = createTokenBucket({ size: { rate: 10, capacity: 50 }, tokens: 50, now: 0 });
    bucket.resize({ rate: 1, capacity: 2 }, 0);
    expect(bucket.take(50, 0)).toBe(2);
    expect(bucket.take(50, 1_000)).toBe(1);
  });

  it('grants nothing for a clock that goes back', () => {
    const bucket = createTokenBucket({ size: { rate: 10, capacity: 5 }, tokens: 0, now: 1_000 });
    expect(bucket.take(5, 0)).toBe(0);
    expect(bucket.take(5, 1_000)).toBe(0);
  });
});

describe('a reserve of permits', () => {
  it('does not use a permit after its lifetime', () => {
    // Guards against permits that a frozen instance uses in a later window.
    const reserve = createPermitReserve();
    reserve.add(2, 500);
    expect(reserve.take(499)).toBe(true);
    expect(reserve.take(500)).toBe(false);
  });

  it('keeps permits only for a team that is busy at this instance', () => {
    const reserve = createPermitReserve();
    const wanted: number[] = [];
    for (let now = 0; now <= 3_000; now += 1_000) wanted.push(reserve.recordDemand(now, 500));
    for (let now = 3_020; now <= 4_000; now += 20) wanted.push(reserve.recordDemand(now, 500));
    expect(wanted.slice(0, 4)).toEqual([0, 0, 0, 0]);
    expect(wanted.at(-1)).toBe(8);
  });
});
