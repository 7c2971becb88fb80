import { formatObjectKey } from './objectStore';
import type { ObjectKey, StoredObject } from './objectStore';

/** A call that waits for a newer version of an object. @public */
export interface WatchRequest extends ObjectKey {
  /** Answered as soon as the version is above this one. */
  after: number;
  waitMilliseconds: number;
  /** Aborted when the caller has gone, which ends the wait without a change. */
  signal: AbortSignal;
}

/** @public */
export interface Watches {
  /** Resolves with the changed object, or with undefined when the time is over. */
  wait: (request: WatchRequest) => Promise<StoredObject | undefined>;
  onChange: (object: StoredObject) => void;
  /** Ends every waiting call without a change. */
  endAll: () => void;
  waiting: () => number;
}

interface Waiter {
  after: number;
  settle: (object: StoredObject | undefined) => void;
}

/** Holds the calls that wait for a change of an object. @public */
export function createWatches(): Watches {
  const waitersByObject = new Map<string, Set<Waiter>>();

  function wait(request: WatchRequest): Promise<StoredObject | undefined> {
    const key = formatObjectKey(request);
    return new Promise((resolve) => {
      const waiters = waitersByObject.get(key) ?? new Set<Waiter>();
      waitersByObject.set(key, waiters);
      const waiter: Waiter = { after: request.after, settle };
      const timer = setTimeout(() => settle(undefined), request.waitMilliseconds);
      waiters.add(waiter);
      request.signal.addEventListener('abort', () => settle(undefined), { once: true });

      function settle(object: StoredObject | undefined): void {
        clearTimeout(timer);
        waiters.delete(waiter);
        resolve(object);
      }
    });
  }

  function onChange(object: StoredObject): void {
    const waiters = waitersByObject.get(formatObjectKey(object)) ?? [];
    [...waiters]
      .filter((waiter) => object.version > waiter.after)
      .forEach((waiter) => waiter.settle(object));
  }

  function endAll(): void {
    allWaiters().forEach((waiter) => waiter.settle(undefined));
  }

  function allWaiters(): Waiter[] {
    return [...waitersByObject.values()].flatMap((waiters) => [...waiters]);
  }

  return { wait, onChange, endAll, waiting: () => allWaiters().length };
}
