import type { ServiceLevel } from '@wisterialift/schema';

/** Length of one counting bucket in milliseconds. @public */
export const BUCKET_MILLISECONDS = 10_000;

/** Buckets kept for each service level: six hours. @public */
export const BUCKET_COUNT = 2_160;

/** A finished request, to be classified by service levels. @public */
export interface MeasuredRequest {
  group: string;
  kind: string;
  /** False if the proxy itself answered with an error. */
  isSuccessful: boolean;
  latencyMilliseconds: number;
}

/** Request counts of one bucket. `bucket` is the bucket number since the epoch. @public */
export interface BurnBucket {
  bucket: number;
  good: number;
  bad: number;
}

/** Counts of one service level at one instance. @public */
export interface BurnSeries {
  level: ServiceLevel;
  buckets: BurnBucket[];
}

/** @public */
export interface BurnCounters {
  setServiceLevels: (levels: readonly ServiceLevel[]) => void;
  /** @param now - milliseconds since the epoch, so that buckets of instances can be merged. */
  record: (request: MeasuredRequest, now: number) => void;
  series: (now: number) => BurnSeries[];
}

interface LevelCounters {
  level: ServiceLevel;
  buckets: BurnBucket[];
}

function createRequestKey({ group, kind }: { group: string; kind: string }): string {
  return JSON.stringify([group, kind]);
}

/**
 * Counts good and bad requests of each service level in buckets and drops the oldest buckets.
 *
 * A configuration change keeps the counts of levels with an unchanged definition.
 *
 * @public
 */
export function createBurnCounters(): BurnCounters {
  let countersByKey = new Map<string, LevelCounters[]>();

  function setServiceLevels(levels: readonly ServiceLevel[]): void {
    const kept = new Map<string, LevelCounters>();
    [...countersByKey.values()].flat().forEach((counters) => {
      kept.set(JSON.stringify(counters.level), counters);
    });
    const next = new Map<string, LevelCounters[]>();
    levels.forEach((level) => {
      const counters = kept.get(JSON.stringify(level)) ?? { level, buckets: [] };
      next.set(createRequestKey(level), [...(next.get(createRequestKey(level)) ?? []), counters]);
    });
    countersByKey = next;
  }

  function record(request: MeasuredRequest, now: number): void {
    const matching = countersByKey.get(createRequestKey(request));
    matching?.forEach((counters) => {
      const current = getCurrentBucket(counters, now);
      if (isGood(request, counters.level)) current.good += 1;
      else current.bad += 1;
    });
  }

  function series(now: number): BurnSeries[] {
    const oldest = Math.floor(now / BUCKET_MILLISECONDS) - BUCKET_COUNT;
    return [...countersByKey.values()].flat().map(({ level, buckets }) => ({
      level,
      buckets: buckets.filter(({ bucket }) => bucket > oldest),
    }));
  }

  return { setServiceLevels, record, series };
}

function isGood(request: MeasuredRequest, level: ServiceLevel): boolean {
  return request.isSuccessful && request.latencyMilliseconds <= level.latencyMilliseconds;
}

/** Returns the last bucket, or appends a new one if its time has passed. */
function getCurrentBucket(counters: LevelCounters, now: number): BurnBucket {
  const bucket = Math.floor(now / BUCKET_MILLISECONDS);
  const last = counters.buckets.at(-1);
  // If the clock was set back, counts in the last bucket to keep the buckets in order.
  if (last && last.bucket >= bucket) return last;
  const created: BurnBucket = { bucket, good: 0, bad: 0 };
  counters.buckets.push(created);
  if (counters.buckets.length > BUCKET_COUNT) counters.buckets.shift();
  return created;
}
