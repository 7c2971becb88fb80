/**
 * Calls `callback` once the data that has arrived by now has been handled.
 *
 * After a pause of the process, timers run before sockets are read. A timer that acted at once would
 * discard answers that had arrived in time.
 */
function runAfterArrivedData(callback: () => void): NodeJS.Immediate {
  return setImmediate(callback);
}

/** A running time limit. @internal */
export interface TimeLimit {
  /** Grants the whole time anew. */
  restart: () => void;
  cancel: () => void;
}

/**
 * Calls `onReached` after `milliseconds`, once the data that arrived by then has been handled.
 *
 * @internal
 */
export function startTimeLimit(milliseconds: number, onReached: () => void): TimeLimit {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(
    () => {
      immediate = runAfterArrivedData(onReached);
    },
    Math.max(0, milliseconds),
  );
  return {
    restart: () => {
      clearImmediate(immediate);
      timer.refresh();
    },
    cancel: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}

/** A timer that is set again and again. @internal */
export interface WakeUpTimer {
  /** Replaces the time that was set before, unless that has passed already. */
  set: (milliseconds: number) => void;
  stop: () => void;
}

/**
 * Creates a timer that calls `onDue` once the data that arrived by its time has been handled.
 *
 * A call that is due is not put off: data that arrives in every turn of the event loop sets the timer
 * each time, and would keep it from ever acting.
 *
 * @internal
 */
export function createWakeUpTimer(onDue: () => void): WakeUpTimer {
  let timer: NodeJS.Timeout | undefined;
  return {
    set: (milliseconds) => {
      clearTimeout(timer);
      timer = setTimeout(() => runAfterArrivedData(onDue), Math.max(0, milliseconds));
    },
    stop: () => clearTimeout(timer),
  };
}
