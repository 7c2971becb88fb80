import type { BucketSize } from './tokenBucket';

/** Limit of a team's operations, summed over all instances. @public */
export interface RateLimit {
  /** Operations per second. */
  rate: number;
  /** Operations beyond the rate that may be started at once. */
  burst: number;
}

/**
 * By how much a limit may be exceeded: in any `windowMilliseconds`, a team may start
 * `(1 + excess) * (rate * window + burst) + slack` operations.
 *
 * @public
 */
export interface LimitTolerance {
  windowMilliseconds: number;
  excess: number;
  slack: number;
}

/** What one of the instances that share a limit grants. @public */
export interface LimitShare {
  size: BucketSize;
  /** Tokens of a bucket that begins anew, because its process has started. */
  initialTokens: number;
  /** Time for which a granted permit may be kept before it is used. */
  permitLifetimeMilliseconds: number;
}

/** Longest time for which a permit may be kept, so that unused ones do not lower the limit for long. */
const MAXIMUM_PERMIT_LIFETIME_MILLISECONDS = 500;

/** Part of the slack that lets each share hold a whole token, however small the burst is. */
const WHOLE_TOKEN_SLACK_FRACTION = 0.4;

/** Restarts of an instance within one window that the initial tokens allow for. */
const RESTARTS_PER_WINDOW = 2;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Divides a limit evenly among instances that grant it independently of each other.
 *
 * The bound holds for any number of them being unreachable, cut off or restarted, since no share depends
 * on another. A process that starts anew does not know what its predecessor granted; with an empty bucket
 * both together stay within the share, so only the tokens that it starts with count against the tolerance.
 *
 * @param options.count - number of instances that share the limit.
 * @public
 */
export function computeLimitShare(options: {
  limit: RateLimit;
  count: number;
  tolerance: LimitTolerance;
}): LimitShare {
  const { limit, count, tolerance } = options;
  const { rate, burst } = limit;
  const window = tolerance.windowMilliseconds / MILLISECONDS_PER_SECOND;
  const permitLifetimeMilliseconds = Math.min(
    MAXIMUM_PERMIT_LIFETIME_MILLISECONDS,
    tolerance.excess * tolerance.windowMilliseconds,
  );
  const extraCapacity = Math.min(1, (tolerance.slack * WHOLE_TOKEN_SLACK_FRACTION) / count);
  const allowance = tolerance.excess * (rate * window + burst) + tolerance.slack;
  const keptPermits = (rate * permitLifetimeMilliseconds) / MILLISECONDS_PER_SECOND;
  const remaining = Math.max(0, allowance - keptPermits - count * extraCapacity);
  const capacity = burst / count + extraCapacity;
  return {
    size: { rate: rate / count, capacity },
    initialTokens: Math.min(capacity, remaining / RESTARTS_PER_WINDOW / count),
    permitLifetimeMilliseconds,
  };
}
