import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** What a latency histogram is kept for. @public */
export interface LatencySeries {
  group: string;
  kind: string;
  access: string;
}

/** @public */
export interface LatencySummary extends LatencySeries {
  count: number;
  p50Milliseconds: number;
  p99Milliseconds: number;
  maximumMilliseconds: number;
}

/** @public */
export interface LatencyRecorder {
  record: (series: LatencySeries, milliseconds: number) => void;
  summaries: () => LatencySummary[];
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

interface RecordedSeries {
  series: LatencySeries;
  histogram: Histogram;
}

/**
 * Keeps one histogram for each group, kind and access, in microseconds.
 *
 * Two significant digits keep a histogram at a few kilobytes, so that the number of series and not
 * the number of requests decides the memory.
 *
 * @public
 */
export function createLatencyRecorder(): LatencyRecorder {
  const recorded = new Map<string, RecordedSeries>();

  function histogramOf(series: LatencySeries): Histogram {
    const key = `${series.group}/${series.kind}/${series.access}`;
    const known = recorded.get(key);
    if (known) return known.histogram;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MICROSECONDS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      bitBucketSize: 32,
    });
    recorded.set(key, { series: { ...series }, histogram });
    return histogram;
  }

  function record(series: LatencySeries, milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    histogramOf(series).recordValue(Math.min(Math.max(microseconds, 1), HIGHEST_MICROSECONDS));
  }

  function summaries(): LatencySummary[] {
    return [...recorded.values()].map(({ series, histogram }) => ({
      ...series,
      count: histogram.totalCount,
      p50Milliseconds: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
      p99Milliseconds: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
      maximumMilliseconds: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    }));
  }

  return { record, summaries };
}
