import type { ClockReadings } from '@wisterialift/core';

export type { ClockReadings };

/** Earlier than any reading, for events whose time is unknown. @public */
export const DISTANT_PAST_READINGS: ClockReadings = { monotonic: -Infinity, wall: -Infinity };

/** Milliseconds since `since`, by whichever clock advanced more. @public */
export function computeAgeUpperBound(since: ClockReadings, now: ClockReadings): number {
  return Math.max(now.monotonic - since.monotonic, now.wall - since.wall);
}
