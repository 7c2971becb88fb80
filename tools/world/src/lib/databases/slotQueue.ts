import type { Scheduler } from '@wisterialift/fuzz';

/** The slots of a database and the queue before them. @internal */
export interface SlotQueue {
  /** @returns false where the queue is full. */
  submit: (work: SlotWork) => boolean;
  /** Slots that nothing runs in. */
  idleSlots: () => number;
  busySlots: () => number;
  waiting: () => number;
  /** Time that slots were in use, in milliseconds. */
  busyTime: () => number;
  /** Times as long as usual that work takes. */
  setSlowness: (factor: number) => void;
  clear: () => void;
}

/** @internal */
export interface SlotWork {
  /** Called when a slot is free. @returns the time that it takes, or undefined for nothing to do. */
  begin: () => number | undefined;
  finish: () => void;
  /** Whether it waits also where the queue is full, as a new connection does. */
  mayWaitBeyondQueue?: boolean;
}

/** @internal */
export function createSlotQueue(options: {
  slots: number;
  queueLength: number;
  scheduler: Scheduler;
}): SlotQueue {
  const { slots, queueLength, scheduler } = options;
  let queue: SlotWork[] = [];
  let running = 0;
  let busyTime = 0;
  let slowness = 1;
  let generation = 0;

  function serve(): void {
    while (running < slots && queue.length > 0) {
      const work = queue.shift()!;
      const milliseconds = work.begin();
      if (milliseconds !== undefined) occupy(work, milliseconds * slowness);
    }
  }

  function occupy(work: SlotWork, milliseconds: number): void {
    const begunIn = generation;
    running += 1;
    busyTime += milliseconds;
    scheduler.after(milliseconds, () => {
      if (begunIn !== generation) return;
      running -= 1;
      work.finish();
      serve();
    });
  }

  return {
    submit: (work) => {
      const isFull = running >= slots && queue.length >= queueLength;
      if (isFull && !work.mayWaitBeyondQueue) return false;
      queue.push(work);
      serve();
      return true;
    },
    idleSlots: () => slots - running,
    busySlots: () => running,
    waiting: () => queue.length,
    busyTime: () => busyTime,
    setSlowness: (factor) => {
      slowness = factor;
    },
    clear: () => {
      queue = [];
      running = 0;
      generation += 1;
    },
  };
}
