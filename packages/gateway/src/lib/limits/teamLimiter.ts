import { computeLimitShare, createPermitReserve } from '@wisterialift/core';
import type { LimitTolerance, RateLimit } from '@wisterialift/core';
import { computeRetryDelay } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { PermitGrant } from './permitAllocator';

/** Whether an operation may start; `detail` states the reason and when to try again. */
export type PermitResult = { type: 'granted' } | { type: 'refused'; detail: string };

export interface LimitCounters {
  admitted: number;
  refused: number;
}

/** Limits the operations of one team's callers at this instance. */
export interface TeamLimiter {
  requestPermit: (limit: RateLimit) => Promise<PermitResult>;
  /** Discards permits whose age is unknown, after the process was suspended. */
  clear: () => void;
  counters: LimitCounters;
}

export interface TeamLimiterOptions {
  team: string;
  clock: Clock;
  tolerance: LimitTolerance;
  /** Returns a uniform number in [0, 1), used for jitter. */
  random: () => number;
  /** Instances to ask for permits, in this order. */
  findAllocators: (team: string) => string[];
  /** Asks an allocator; resolves to undefined if it does not answer or cannot be reached. */
  askAllocator: (
    allocator: string,
    request: { team: string; count: number },
  ) => Promise<PermitGrant | undefined>;
}

/**
 * Allocators with nothing left to grant after which an operation is refused. Any of them may be short of
 * permits for a moment, but if several are, the team is at its limit.
 */
const MAXIMUM_EXHAUSTED_ALLOCATORS = 4;

/** Pause before an allocator that did not answer is asked again. */
const UNAVAILABLE_MILLISECONDS = 300;

/** Shortest pause before an allocator that had no permits left is asked again. */
const MINIMUM_EXHAUSTION_MILLISECONDS = 15;

const GRANTED: PermitResult = { type: 'granted' };

interface Waiter {
  arrivedAt: number;
  settle: (result: PermitResult) => void;
}

export function createTeamLimiter(options: TeamLimiterOptions): TeamLimiter {
  const { team, clock, tolerance, random, findAllocators, askAllocator } = options;
  const reserve = createPermitReserve();
  const counters: LimitCounters = { admitted: 0, refused: 0 };
  const waiters: Waiter[] = [];
  /** Time before which each allocator is not asked again. */
  const askableFrom = new Map<string, number>();
  /** Permits to hold beyond those that waiters need. */
  let wantedReserve = 0;
  let isFetching = false;
  let lifetime = 0;
  let rate = 0;

  const canAsk = (allocator: string) => (askableFrom.get(allocator) ?? 0) <= clock.now();

  const countMissing = () => waiters.length + wantedReserve - reserve.count(clock.now());

  function applyLimit(limit: RateLimit): void {
    rate = limit.rate;
    lifetime = computeLimitShare({ limit, count: 1, tolerance }).permitLifetimeMilliseconds;
  }

  function requestPermit(limit: RateLimit): Promise<PermitResult> {
    const now = clock.now();
    applyLimit(limit);
    wantedReserve = reserve.recordDemand(now, lifetime);
    if (waiters.length === 0 && reserve.take(now)) {
      counters.admitted += 1;
      if (reserve.count(now) * 2 < wantedReserve) startFetching();
      return Promise.resolve(GRANTED);
    }
    return new Promise((settle) => {
      waiters.push({ arrivedAt: now, settle });
      startFetching();
    });
  }

  function startFetching(): void {
    if (isFetching) return;
    isFetching = true;
    void fetchPermits().finally(() => {
      isFetching = false;
    });
  }

  /** Fetches permits until each waiter has one or was refused. */
  async function fetchPermits(): Promise<void> {
    do {
      const startedAt = clock.now();
      await askAllocators();
      refuseWaiters(startedAt);
    } while (waiters.length > 0);
  }

  /** Asks one allocator after the other; only the first askable one if no statement waits. */
  async function askAllocators(): Promise<void> {
    let exhausted = 0;
    for (const allocator of findAllocators(team).filter(canAsk)) {
      const count = countMissing();
      if (count <= 0 || exhausted === MAXIMUM_EXHAUSTED_ALLOCATORS) return;
      const requestedAt = clock.now();
      const grant = await askAllocator(allocator, { team, count });
      recordAnswer({ allocator, grant, wanted: count });
      if (grant) exhausted += 1;
      const unused = serveWaiters(grant?.count ?? 0);
      reserve.add(unused, requestedAt + lifetime);
      if (waiters.length === 0) return;
    }
  }

  function recordAnswer(asked: {
    allocator: string;
    grant: PermitGrant | undefined;
    wanted: number;
  }): void {
    const { allocator, grant, wanted } = asked;
    if (grant && grant.count >= wanted) return;
    const pause = grant
      ? Math.max(MINIMUM_EXHAUSTION_MILLISECONDS, grant.retryAfterMilliseconds)
      : UNAVAILABLE_MILLISECONDS;
    askableFrom.set(allocator, clock.now() + pause);
  }

  /** @returns the number of permits that no waiter needed. */
  function serveWaiters(permits: number): number {
    const served = waiters.splice(0, permits);
    counters.admitted += served.length;
    for (const waiter of served) waiter.settle(GRANTED);
    return permits - served.length;
  }

  /** Refuses those for which every allocator was asked; others arrived after `startedAt`. */
  function refuseWaiters(startedAt: number): void {
    while (waiters[0] && waiters[0].arrivedAt <= startedAt) waiters.shift()!.settle(refuse());
  }

  function refuse(): PermitResult {
    counters.refused += 1;
    const waits = findAllocators(team).map(
      (allocator) => (askableFrom.get(allocator) ?? 0) - clock.now(),
    );
    const expectedWait = waits.length > 0 ? Math.max(0, Math.min(...waits)) : undefined;
    const milliseconds = computeRetryDelay({ expectedWait, jitter: random() });
    const detail = `${team} may start ${rate} operations a second, come back in ${milliseconds} ms`;
    return { type: 'refused', detail };
  }

  return { requestPermit, clear: reserve.clear, counters };
}
