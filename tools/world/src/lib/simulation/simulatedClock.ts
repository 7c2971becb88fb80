import type { Scheduler } from '@wisterialift/fuzz';
import type { Clock } from '@wisterialift/gateway';
import type { ClockReadings } from '@wisterialift/pooling';

/** Time of day at which every world begins, in milliseconds. */
const EPOCH = Date.UTC(2026, 0, 2);

/** What the clocks of every process show at a time of the world. @internal */
export function readingsAt(time: number): ClockReadings {
  return { monotonic: time, wall: EPOCH + time };
}

/**
 * The clocks of one process.
 *
 * @param isRunning - false once the process has ended; its timers never fire then.
 * @internal
 */
export function createSimulatedClock(scheduler: Scheduler, isRunning: () => boolean): Clock {
  const after: Clock['runAfter'] = (milliseconds, action) => {
    let isDue = true;
    scheduler.after(Math.max(0, milliseconds), () => {
      if (isDue && isRunning()) action();
    });
    return () => {
      isDue = false;
    };
  };

  const every: Clock['runEvery'] = (milliseconds, action) => {
    let cancel = after(milliseconds, repeat);
    function repeat(): void {
      cancel = after(milliseconds, repeat);
      action();
    }
    return () => cancel();
  };

  return {
    now: scheduler.now,
    readClocks: () => readingsAt(scheduler.now()),
    runAfter: after,
    runEvery: every,
    sleep: (milliseconds) =>
      new Promise((resolve) => {
        after(milliseconds, resolve);
      }),
  };
}

/** Runs a world until a time; promises settle between any two of its events. @internal */
export async function runWorldUntil(scheduler: Scheduler, time: number): Promise<void> {
  while (scheduler.runNext(time)) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  scheduler.runUntil(time);
}
