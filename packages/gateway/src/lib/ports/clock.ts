import type { ClockReadings } from '@wisterialift/pooling';

/** Cancels a scheduled action; has no effect once the action has run. @public */
export type CancelTimer = () => void;

/** Time source and timers; simulated in tests. @public */
export interface Clock {
  /** Returns the monotonic time in milliseconds. */
  now: () => number;
  /** Reads the monotonic clock and the time of day, in milliseconds. */
  readings: () => ClockReadings;
  /** Runs an action once after a delay; a negative delay counts as 0. */
  after: (milliseconds: number, action: () => void) => CancelTimer;
  /** Runs an action at a fixed interval. */
  every: (milliseconds: number, action: () => void) => CancelTimer;
  pause: (milliseconds: number) => Promise<void>;
}

/** Creates a clock based on the timers of the process. @public */
export function createProcessClock(): Clock {
  const now = () => performance.now();

  const after: Clock['after'] = (milliseconds, action) => {
    const timer = setTimeout(action, Math.max(0, milliseconds));
    return () => clearTimeout(timer);
  };

  return {
    now,
    readings: () => ({ steady: now(), wall: Date.now() }),
    after,
    every: (milliseconds, action) => {
      const timer = setInterval(action, milliseconds);
      return () => clearInterval(timer);
    },
    pause: (milliseconds) =>
      new Promise((resolve) => {
        after(milliseconds, resolve);
      }),
  };
}
