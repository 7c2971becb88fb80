import { DatabaseError } from '../engine/databaseError';

/** Holds the one writing transaction; others wait in order. */
export interface WriterLock {
  /**
   * @param owner - identity of the session that asks.
   * @throws DatabaseError 1205 when the wait takes too long.
   */
  acquire: (owner: object) => Promise<void>;
  release: (owner: object) => void;
  holder: () => object | undefined;
}

interface Waiter {
  owner: object;
  resolve: () => void;
  timer: NodeJS.Timeout;
}

const LOCK_WAIT_MILLISECONDS = 10_000;

/** Creates a free lock. */
export function createWriterLock(): WriterLock {
  let holder: object | undefined;
  let waiters: Waiter[] = [];

  function passOn(): void {
    const next = waiters.shift();
    holder = next?.owner;
    if (!next) return;
    clearTimeout(next.timer);
    next.resolve();
  }

  return {
    holder: () => holder,
    acquire: (owner) => {
      if (holder === owner) return Promise.resolve();
      if (holder === undefined) {
        holder = owner;
        return Promise.resolve();
      }
      return new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
          waiters = waiters.filter((waiter) => waiter.timer !== timer);
          reject(new DatabaseError(1205, 'HY000', 'Lock wait timeout exceeded'));
        }, LOCK_WAIT_MILLISECONDS);
        waiters.push({ owner, resolve, timer });
      });
    },
    release: (owner) => {
      if (holder === owner) passOn();
    },
  };
}
