import type { ServiceLevel } from '@wisterialift/schema';

/** Length of one counting bucket in milliseconds. @public */
export const BUCKET_MILLISECONDS = 10_000;

/** Buckets kept for each service level: six hours. @public */
export const BUCKET_COUNT = 2_160;

/** A request as service levels judge it. @public */
export interface JudgedRequest {
  group: string;
  kind: string;
  /** False when the system answered with an error of its own. */
  isAnswered: boolean;
  latencyMilliseconds: number;
}

/** Requests of one bucket. `bucket` counts buckets since the clock's zero. @public */
export interface BurnBucket {
  bucket: number;
  good: number;
  bad: number;
}

/** The counts of one service level at one instance. @public */
export interface BurnSeries {
  level: ServiceLevel;
  buckets: BurnBucket[];
}

/** @public */
export interface BurnCounters {
  setLevels: (levels: readonly ServiceLevel[]) => void;
  /** @param now - milliseconds since the epoch, so that instances can be added up. */
  record: (request: JudgedRequest, now: number) => void;
  series: (now: number) => BurnSeries[];
}

interface LevelCounters {
  level: ServiceLevel;
  buckets: BurnBucket[];
}

/** Names the requests that a level judges. */
function requestKey(request: { group: string; kind: string }): string {
  return `${request.group}/${request.kind}`;
}

/**
 * Counts good and bad requests for each service level in a ring of buckets.
 *
 * A change of the configuration keeps the counts of every level whose definition stayed the same.
 *
 * @public
 */
export function createBurnCounters(): BurnCounters {
  let countersByKey = new Map<string, LevelCounters[]>();

  function setLevels(levels: readonly ServiceLevel[]): void {
    const kept = new Map<string, LevelCounters>();
    [...countersByKey.values()].flat().forEach((counters) => {
      kept.set(JSON.stringify(counters.level), counters);
    });
    const next = new Map<string, LevelCounters[]>();
    levels.forEach((level) => {
      const counters = kept.get(JSON.stringify(level)) ?? { level, buckets: [] };
      next.set(requestKey(level), [...(next.get(requestKey(level)) ?? []), counters]);
    });
    countersByKey = next;
  }

  function record(request: JudgedRequest, now: number): void {
    const judging = countersByKey.get(requestKey(request));
    judging?.forEach((counters) => {
      const current = currentBucket(counters, now);
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

  return { setLevels, record, series };
}

function isGood(request: JudgedRequest, level: ServiceLevel): boolean {
  return request.isAnswered && request.latencyMilliseconds <= level.latencyMilliseconds;
}

/** The bucket of this moment; buckets rise, so it is the last one or a new one behind it. */
function currentBucket(counters: LevelCounters, now: number): BurnBucket {
  const bucket = Math.floor(now / BUCKET_MILLISECONDS);
  const last = counters.buckets.at(-1);
  // A clock that was set back keeps counting in the last bucket rather than opening an older one.
  if (last && last.bucket >= bucket) return last;
  const opened: BurnBucket = { bucket, good: 0, bad: 0 };
  counters.buckets.push(opened);
  if (counters.buckets.length > BUCKET_COUNT) counters.buckets.shift();
  return opened;
}
