import type { Position } from '@wisterialift/schema';
import { computeAgeUpperBound } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/** The end of the primary's log, and when it was requested. */
export interface PositionSample {
  /** When the request was sent. */
  requestedAt: ClockReadings;
  term: number;
  position: Position;
}

/** Recent log ends of the primary, which bounded-staleness reads are checked against. */
export interface PositionHistory {
  add: (sample: PositionSample) => void;
  /** Oldest sample of `term` requested at most `maximumAge` ms before `now`, or undefined. */
  findOldest: (options: {
    now: ClockReadings;
    maximumAge: number;
    term: number;
  }) => PositionSample | undefined;
  /**
   * Request time of the oldest sample of the same term with a higher index, in milliseconds of the
   * monotonic clock, or undefined.
   */
  findTimeObservedBeyond: (position: Position) => number | undefined;
  clear: () => void;
}

/** Minimum time between two samples; those in between would not change the choice of a member. */
const SAMPLE_GAP_MILLISECONDS = 20;

/**
 * Covers at least 8 s at the gap above. Reads that accept older data get the oldest retained
 * sample, which is stricter than they need.
 */
const MAXIMUM_SAMPLES = 400;

export function createPositionHistory(): PositionHistory {
  let samples: PositionSample[] = [];

  return {
    add: ({ requestedAt, term, position }) => {
      const last = samples.at(-1);
      if (last && last.term > term) return;
      if (last?.term === term) {
        const gap = computeAgeUpperBound(last.requestedAt, requestedAt);
        if (gap < SAMPLE_GAP_MILLISECONDS) return;
      }
      if (last && last.term < term) samples = [];
      samples.push({ requestedAt, term, position });
      if (samples.length > MAXIMUM_SAMPLES) samples.shift();
    },
    findOldest: ({ now, maximumAge, term }) =>
      samples.find(
        (sample) =>
          sample.term === term && computeAgeUpperBound(sample.requestedAt, now) <= maximumAge,
      ),
    findTimeObservedBeyond: ({ term, index }) =>
      samples.find((sample) => sample.term === term && sample.position.index > index)?.requestedAt
        .monotonic,
    clear: () => {
      samples = [];
    },
  };
}
