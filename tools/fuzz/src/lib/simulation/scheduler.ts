import { createHeap } from '@wisterialift/core';

/** A single-threaded event queue with virtual time in milliseconds. @public */
export interface Scheduler {
  now: () => number;
  /** Runs `action` at a time; one in the past runs next. */
  at: (time: number, action: () => void) => void;
  after: (milliseconds: number, action: () => void) => void;
  /** Runs what is due until the given time, which is the present afterwards. */
  runUntil: (time: number) => void;
}

interface Scheduled {
  time: number;
  sequence: number;
  action: () => void;
}

/** Creates an empty event queue at time 0; actions of the same time run in order of scheduling. @public */
export function createScheduler(): Scheduler {
  const queue = createHeap<Scheduled>(
    (left, right) => left.time - right.time || left.sequence - right.sequence,
  );
  let present = 0;
  let sequence = 0;

  const at = (time: number, action: () => void) => {
    sequence += 1;
    queue.push({ time: Math.max(time, present), sequence, action });
  };

  const runUntil = (time: number) => {
    for (let next = queue.peek(); next && next.time <= time; next = queue.peek()) {
      queue.pop();
      present = next.time;
      next.action();
    }
    present = time;
  };

  return {
    now: () => present,
    at,
    after: (milliseconds, action) => at(present + milliseconds, action),
    runUntil,
  };
}
