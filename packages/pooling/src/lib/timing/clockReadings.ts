/** Readings of both clocks at one moment, in milliseconds. @public */
export interface ClockReadings {
  /** Never steps, but stands still while the machine is suspended. */
  steady: number;
  /** Goes on during a suspension, but may step. */
  wall: number;
}

/** A moment before all others, for what happened nobody knows when. @public */
export const LONG_AGO: ClockReadings = { steady: -Infinity, wall: -Infinity };

/** Milliseconds since a moment, by the clock that counted more. @public */
export function longestAge(since: ClockReadings, present: ClockReadings): number {
  return Math.max(present.steady - since.steady, present.wall - since.wall);
}
