/** Readings of both clocks at the same moment, in milliseconds. @public */
export interface ClockReadings {
  /** Monotonic clock; stops while the machine is suspended. */
  monotonic: number;
  /** Wall clock; runs during a suspension but may be adjusted. */
  wall: number;
}

/** Earlier than any reading, for events whose time is unknown. @public */
export const DISTANT_PAST_READINGS: ClockReadings = { monotonic: -Infinity, wall: -Infinity };

/** Milliseconds since `since`, by whichever clock advanced more. @public */
export function computeAgeUpperBound(since: ClockReadings, now: ClockReadings): number {
  return Math.max(now.monotonic - since.monotonic, now.wall - since.wall);
}
