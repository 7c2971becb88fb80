/** The inputs of a process that may be frozen. @public */
export interface Mailbox {
  /** Runs the action now, or after the freeze in the order of arrival. */
  run: (action: () => void) => void;
  freeze: () => void;
  thaw: () => void;
  isFrozen: () => boolean;
  /** Drops everything that waits, as the end of the process does. */
  clear: () => void;
}

/** Creates the mailbox of a running process. @public */
export function createMailbox(): Mailbox {
  let waiting: (() => void)[] = [];
  let isFrozen = false;
  return {
    run: (action) => {
      if (isFrozen) waiting.push(action);
      else action();
    },
    freeze: () => {
      isFrozen = true;
    },
    thaw: () => {
      isFrozen = false;
      const due = waiting;
      waiting = [];
      due.forEach((action) => action());
    },
    isFrozen: () => isFrozen,
    clear: () => {
      waiting = [];
    },
  };
}
