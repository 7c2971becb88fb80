import type { ClockReadings } from './clockReadings';

/**
 * A clock for ages, which must not look too small: it runs while the machine is suspended. Waits go by
 * the monotonic clock, which a step of the time of day leaves alone.
 *
 * @internal
 */
export interface AgeClock {
  advance: (readings: ClockReadings) => void;
  now: () => number;
  /** The earliest time of this clock that is certainly no more than `milliseconds` ago. */
  computeEarliest: (milliseconds: number) => number;
}

/** Difference between the clocks that their resolution and the time between two readings explain. */
const TOLERANCE_MILLISECONDS = 5;

/** Difference that a step of the time of day may have made, which may hide a part of a suspension. */
const STEP_MILLISECONDS = 100;

/** Longer than any age that a read accepts. */
const UNKNOWN_AGE_MILLISECONDS = 366 * 86_400_000;

/**
 * Creates a clock that advances with whichever of the two clocks advances more, between any two of
 * its readings, less the tolerance.
 *
 * A suspension and a step of the time of day may come together, so nothing tells how long a suspension
 * of more than 100 ms was. All that was before it is too old.
 *
 * @internal
 */
export function createAgeClock(): AgeClock {
  let monotonic = 0;
  /** How far the time of day is ahead of the monotonic clock, at its lowest since the last addition. */
  let lead: number | undefined;
  let added = 0;

  function add(milliseconds: number, newLead: number): void {
    added += milliseconds;
    lead = newLead;
  }

  return {
    advance: (readings) => {
      monotonic = readings.monotonic;
      const newLead = readings.wall - monotonic;
      const change = newLead - (lead ?? newLead);
      if (Math.abs(change) >= STEP_MILLISECONDS) add(UNKNOWN_AGE_MILLISECONDS, newLead);
      else if (change > TOLERANCE_MILLISECONDS) add(change, newLead);
      else if (change < 0 || lead === undefined) lead = newLead;
    },
    now: () => monotonic + added,
    computeEarliest: (milliseconds) => monotonic + added - milliseconds + TOLERANCE_MILLISECONDS,
  };
}
