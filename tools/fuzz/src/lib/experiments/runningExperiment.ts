import { createConcurrencyLimit } from '@wisterialift/core';
import { createRandom } from '../simulation/random';
import { createScheduler } from '../simulation/scheduler';

/** @public */
export interface RunningFigures {
  /** Statements completed each second. */
  throughput: number;
  /** Mean time of a statement at the database, in milliseconds. */
  databaseMilliseconds: number;
}

const SLOTS = 5;
const INSTANCES = 7;
const SERVICE_MILLISECONDS = 10;
const RUN_MILLISECONDS = 20_000;

/**
 * Puts saturating demand on some of seven instances that share a database of five slots.
 *
 * @param way - `fairPart` and `allSlots` are the fixed baselines.
 * @param busyInstances - instances with demand; the others are quiet.
 * @public
 */
export function runRunningLimit(
  way: 'fairPart' | 'allSlots' | 'adaptive',
  busyInstances: number,
  seed: number,
): RunningFigures {
  const random = createRandom(seed);
  const scheduler = createScheduler();
  const waiting: (() => void)[] = [];
  let busySlots = 0;
  let completed = 0;
  let total = 0;

  const occupySlot = (onFinished: () => void) => {
    busySlots += 1;
    scheduler.after(SERVICE_MILLISECONDS * (0.5 + random.next()), () => {
      busySlots -= 1;
      onFinished();
      waiting.shift()?.();
    });
  };

  const execute = (onFinished: () => void) => {
    if (busySlots < SLOTS) occupySlot(onFinished);
    else waiting.push(() => occupySlot(onFinished));
  };

  const startInstance = () => {
    const adaptive = createConcurrencyLimit({ slots: SLOTS, instances: INSTANCES });
    const limits = { fairPart: () => 1, allSlots: () => SLOTS, adaptive: adaptive.getLimit };
    let running = 0;

    const onCompleted = (startedAt: number) => {
      const milliseconds = scheduler.now() - startedAt;
      adaptive.recordCompletion(milliseconds, running);
      running -= 1;
      completed += 1;
      total += milliseconds;
      startStatements();
    };

    function startStatements() {
      while (running < limits[way]()) {
        const startedAt = scheduler.now();
        running += 1;
        execute(() => onCompleted(startedAt));
      }
    }
    startStatements();
  };

  for (let index = 0; index < busyInstances; index += 1) startInstance();
  scheduler.runUntil(RUN_MILLISECONDS);
  return {
    throughput: Math.round((completed * 1_000) / RUN_MILLISECONDS),
    databaseMilliseconds: Math.round((total / completed) * 10) / 10,
  };
}
