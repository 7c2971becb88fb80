/** A running time limit. @internal */
export interface TimeLimit {
  /** Grants the whole time anew. */
  restart: () => void;
  cancel: () => void;
}

/**
 * Calls `onReached` after `milliseconds`, once the data that arrived by then has been handled.
 *
 * After a pause of the process, timers run before sockets are read. A time limit that acted at once
 * would discard answers that had arrived in time.
 *
 * @internal
 */
export function startTimeLimit(milliseconds: number, onReached: () => void): TimeLimit {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(
    () => {
      immediate = setImmediate(onReached);
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
