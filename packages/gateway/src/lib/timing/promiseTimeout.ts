import type { Clock } from '../ports/clock';

/** Result of waiting for a promise with a timeout. */
export type TimedResult<Value> =
  { type: 'value'; value: Value } | { type: 'error'; error: Error } | { type: 'timeout' };

/** Lets a promise that is already settled win over an expired timeout. */
const MINIMUM_TIMEOUT_MILLISECONDS = 1;

/** Waits for a promise for at most `milliseconds`; ignores a result or error after that. */
export function settleWithTimeout<Value>(
  clock: Clock,
  promise: Promise<Value>,
  milliseconds: number,
): Promise<TimedResult<Value>> {
  return new Promise((resolve) => {
    const timeout = Math.max(MINIMUM_TIMEOUT_MILLISECONDS, milliseconds);
    const cancelTimeout = clock.runAfter(timeout, () => resolve({ type: 'timeout' }));
    promise.then(
      (value) => {
        cancelTimeout();
        resolve({ type: 'value', value });
      },
      (error: Error) => {
        cancelTimeout();
        resolve({ type: 'error', error });
      },
    );
  });
}

/**
 * Resolves to the value of a promise, or to undefined after `milliseconds`.
 *
 * @throws Error with which the promise is rejected before the timeout.
 */
export async function resolveWithTimeout<Value>(
  clock: Clock,
  promise: Promise<Value>,
  milliseconds: number,
): Promise<Value | undefined> {
  const settled = await settleWithTimeout(clock, promise, milliseconds);
  if (settled.type === 'error') throw settled.error;
  return settled.type === 'value' ? settled.value : undefined;
}
