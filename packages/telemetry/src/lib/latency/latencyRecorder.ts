import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Identifies a series of latencies, which has its own histogram. @public */
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
const MAXIMUM_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

interface RecordedSeries {
  series: LatencySeries;
  histogram: Histogram;
}

/**
 * Records latencies in one histogram per group, kind and access.
 *
 * Two significant digits limit a histogram to a few kilobytes; memory use depends only on the
 * number of series.
 *
 * @public
 */
export function createLatencyRecorder(): LatencyRecorder {
  const recordedSeries = new Map<string, RecordedSeries>();

  function getHistogram(series: LatencySeries): Histogram {
    const key = JSON.stringify([series.group, series.kind, series.access]);
    const existing = recordedSeries.get(key);
    if (existing) return existing.histogram;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAXIMUM_MICROSECONDS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      bitBucketSize: 32,
    });
    recordedSeries.set(key, { series: { ...series }, histogram });
    return histogram;
  }

  function record(series: LatencySeries, milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    getHistogram(series).recordValue(Math.min(Math.max(microseconds, 1), MAXIMUM_MICROSECONDS));
  }

  function summaries(): LatencySummary[] {
    return [...recordedSeries.values()].map(({ series, histogram }) => ({
      ...series,
      count: histogram.totalCount,
      p50Milliseconds: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
      p99Milliseconds: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
      maximumMilliseconds: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    }));
  }

  return { record, summaries };
}
