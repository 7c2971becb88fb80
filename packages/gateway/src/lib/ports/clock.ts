import type { ClockReadings } from '@wisterialift/pooling';

/** Where the tasks get the time from. @public */
export interface Clock {
  /** Milliseconds that never step back. */
  now: () => number;
  readings: () => ClockReadings;
}

/** The clocks of the process. @public */
export function createProcessClock(): Clock {
  const now = () => performance.now();
  return { now, readings: () => ({ steady: now(), wall: Date.now() }) };
}
