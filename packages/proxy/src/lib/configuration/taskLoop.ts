import { setTimeout as sleep } from 'node:timers/promises';

/** Repeats a step with delays in between. @internal */
export interface TaskLoop {
  start: () => void;
  /** Aborts the signal of the current step and skips or ends the delay after it. */
  wake: () => void;
  /** Resolves when the current step has ended. */
  stop: () => Promise<void>;
}

/** @internal */
export interface TaskLoopOptions {
  /** @returns the delay until the next step in milliseconds. */
  step: (signal: AbortSignal) => Promise<number>;
  /** Called for each error that a step throws. */
  onError: (error: unknown) => void;
  errorDelayMilliseconds: number;
}

/** Creates a loop that continues after errors of a step. @internal */
export function createTaskLoop(options: TaskLoopOptions): TaskLoop {
  let controller = new AbortController();
  let isStopped = false;
  let ended: Promise<void> = Promise.resolve();

  async function run(): Promise<void> {
    while (!isStopped) {
      controller = new AbortController();
      const delayMilliseconds = await runStep(controller.signal);
      await sleepUnlessAborted(delayMilliseconds, controller.signal);
    }
  }

  async function runStep(signal: AbortSignal): Promise<number> {
    try {
      return await options.step(signal);
    } catch (error) {
      options.onError(error);
      return options.errorDelayMilliseconds;
    }
  }

  function stop(): Promise<void> {
    isStopped = true;
    controller.abort();
    return ended;
  }

  return {
    start: () => {
      ended = run();
    },
    wake: () => controller.abort(),
    stop,
  };
}

/** Resolves after the delay, or at once without an error when the signal is aborted. */
async function sleepUnlessAborted(milliseconds: number, signal: AbortSignal): Promise<void> {
  try {
    await sleep(milliseconds, undefined, { signal });
  } catch {
    // Woken up: the pause was the only thing that ended.
  }
}
