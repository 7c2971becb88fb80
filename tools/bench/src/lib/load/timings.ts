import { build } from 'hdr-histogram-js';

/** Times of many actions. */
export interface Timings {
  /** @param milliseconds - kept to a microsecond. */
  record: (milliseconds: number) => void;
  /** @param share - for example 50 or 99. */
  percentile: (share: number) => number;
  count: () => number;
}

const MICROSECONDS = 1_000;

/** Starts with no time. */
export function createTimings(): Timings {
  const histogram = build({
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
  return {
    record: (milliseconds) => {
      histogram.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS)));
    },
    percentile: (share) => histogram.getValueAtPercentile(share) / MICROSECONDS,
    count: () => histogram.totalCount,
  };
}

/** Runs an action and records how long it took, also when it fails. */
export async function timed<Result>(
  timings: Timings,
  action: () => Promise<Result>,
): Promise<Result> {
  const started = performance.now();
  try {
    return await action();
  } finally {
    timings.record(performance.now() - started);
  }
}

/** Waits. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Waits until a condition holds; gives whether it did within the time. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const giveUpAt = performance.now() + timeoutMilliseconds;
  while (performance.now() < giveUpAt) {
    if (await condition().catch(() => false)) return true;
    await pause(20);
  }
  return false;
}

/** Repeats an action until the time is over. */
export async function repeatFor(milliseconds: number, action: () => Promise<void>): Promise<void> {
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt) await action();
}
