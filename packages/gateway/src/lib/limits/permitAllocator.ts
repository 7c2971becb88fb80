import { computeLimitShare, createTokenBucket } from '@wisterialift/core';
import type { LimitTolerance, RateLimit, TokenBucket } from '@wisterialift/core';
import type { Clock } from '../ports/clock';

/** Permits granted for operations of a team. */
export interface PermitGrant {
  count: number;
  /** Expected milliseconds until the next permit if fewer were granted than wanted. */
  retryAfterMilliseconds: number;
}

/** Grants permits of this instance's shares of the teams' limits. */
export interface PermitAllocator {
  grant: (team: string, wanted: number) => PermitGrant;
}

export interface PermitAllocatorOptions {
  clock: Clock;
  tolerance: LimitTolerance;
  /** Limit of a team in the active configuration; undefined if it has none. */
  findLimit: (team: string) => RateLimit | undefined;
  /** Number of instances that share the limit of a team; undefined if this one is not among them. */
  countAllocators: (team: string) => number | undefined;
}

/** Pause before an instance that does not share in a limit is asked again. */
const NOT_ALLOCATOR_RETRY_MILLISECONDS = 500;

/** Longest pause stated to an instance that finds no permits left. */
const MAXIMUM_RETRY_MILLISECONDS = 1_000;

interface Allocation {
  bucket: TokenBucket;
  limit: RateLimit;
  count: number;
}

export function createPermitAllocator(options: PermitAllocatorOptions): PermitAllocator {
  const { clock, tolerance, findLimit, countAllocators } = options;
  const allocations = new Map<string, Allocation>();
  const startedAt = clock.now();

  function findAllocation(team: string): Allocation | undefined {
    const limit = findLimit(team);
    const count = limit && countAllocators(team);
    if (!limit || count === undefined) {
      // If it shares in the limit again, it begins anew.
      allocations.delete(team);
      return undefined;
    }
    const known = allocations.get(team);
    if (known?.limit === limit && known.count === count) return known;
    const share = computeLimitShare({ limit, count, tolerance });
    known?.bucket.resize(share.size, clock.now());
    const bucket =
      known?.bucket ??
      createTokenBucket({ size: share.size, tokens: share.initialTokens, now: startedAt });
    const allocation = { bucket, limit, count };
    allocations.set(team, allocation);
    return allocation;
  }

  return {
    grant: (team, wanted) => {
      const allocation = findAllocation(team);
      if (!allocation) {
        return { count: 0, retryAfterMilliseconds: NOT_ALLOCATOR_RETRY_MILLISECONDS };
      }
      const now = clock.now();
      const count = allocation.bucket.take(wanted, now);
      const delay = count < wanted ? allocation.bucket.estimateDelay(now) : 0;
      return {
        count,
        retryAfterMilliseconds: Math.ceil(Math.min(MAXIMUM_RETRY_MILLISECONDS, delay)),
      };
    },
  };
}
