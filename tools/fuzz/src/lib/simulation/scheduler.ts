import { createHeap } from '@wisterialift/core';

/** A single-threaded event queue with virtual time in milliseconds. @public */
export interface Scheduler {
  now: () => number;
  /** Runs `action` at a time; one in the past runs next. */
  at: (time: number, action: () => void) => void;
  after: (milliseconds: number, action: () => void) => void;
  /** Runs what is due until the given time, which is the present afterwards. */
  runUntil: (time: number) => void;
  /** Runs one action that is due until the given time; false where there is none. */
  runNext: (time: number) => boolean;
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

  const runNext = (time: number): boolean => {
    const next = queue.peek();
    if (!next || next.time > time) return false;
    queue.pop();
    present = next.time;
    next.action();
    return true;
  };

  const runUntil = (time: number) => {
    while (runNext(time));
    present = time;
  };

  return {
    now: () => present,
    at,
    after: (milliseconds, action) => at(present + milliseconds, action),
    runUntil,
    runNext,
  };
}
