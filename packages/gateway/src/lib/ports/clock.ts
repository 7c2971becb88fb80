import type { ClockReadings } from '@wisterialift/pooling';

/** Cancels a scheduled action; has no effect once the action has run. @public */
export type CancelTimer = () => void;

/** Time source and timers; simulated in tests. @public */
export interface Clock {
  /** Returns the monotonic time in milliseconds. */
  now: () => number;
  /** Reads the monotonic clock and the time of day, in milliseconds. */
  readClocks: () => ClockReadings;
  /** Runs an action once after a delay; a negative delay counts as 0. */
  runAfter: (milliseconds: number, action: () => void) => CancelTimer;
  /** Runs an action at a fixed interval. */
  runEvery: (milliseconds: number, action: () => void) => CancelTimer;
  sleep: (milliseconds: number) => Promise<void>;
}

/** Creates a clock based on the timers of the process. @public */
export function createProcessClock(): Clock {
  const now = () => performance.now();

  const after: Clock['runAfter'] = (milliseconds, action) => {
    const timer = setTimeout(action, Math.max(0, milliseconds));
    return () => clearTimeout(timer);
  };

  return {
    now,
    readClocks: () => ({ monotonic: now(), wall: Date.now() }),
    runAfter: after,
    runEvery: (milliseconds, action) => {
      const timer = setInterval(action, milliseconds);
      return () => clearInterval(timer);
    },
    sleep: (milliseconds) =>
      new Promise((resolve) => {
        after(milliseconds, resolve);
      }),
  };
}
