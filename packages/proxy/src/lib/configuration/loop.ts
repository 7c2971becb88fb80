import { setTimeout as sleep } from 'node:timers/promises';

/** Work that is done again and again with pauses. @internal */
export interface Loop {
  start: () => void;
  /** Ends the pause, or the waiting call that heeds the signal, so that the next step begins. */
  wake: () => void;
  /** Resolves once the step under way has ended. */
  stop: () => Promise<void>;
}

/** @internal */
export interface LoopOptions {
  /** @returns the pause until the next step in milliseconds. */
  step: (signal: AbortSignal) => Promise<number>;
  /** Called for an error of a step, which is a fault of the program. */
  onFault: (error: unknown) => void;
  faultPauseMilliseconds: number;
}

/** Creates a loop; a fault of one step never ends it. @internal */
export function createLoop(options: LoopOptions): Loop {
  let controller = new AbortController();
  let isStopped = false;
  let ended: Promise<void> = Promise.resolve();

  async function run(): Promise<void> {
    while (!isStopped) {
      controller = new AbortController();
      const pause = await takeStep(controller.signal);
      await pauseFor(pause, controller.signal);
    }
  }

  async function takeStep(signal: AbortSignal): Promise<number> {
    try {
      return await options.step(signal);
    } catch (error) {
      options.onFault(error);
      return options.faultPauseMilliseconds;
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

async function pauseFor(milliseconds: number, signal: AbortSignal): Promise<void> {
  try {
    await sleep(milliseconds, undefined, { signal });
  } catch {
    // Woken up: the pause was the only thing that ended.
  }
}
