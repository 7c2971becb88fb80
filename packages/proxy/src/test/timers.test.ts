import { describe, expect, it } from 'vitest';
import { createWakeUpTimer } from '../lib/statements/group/timers';

describe('a wake-up timer', () => {
  it('acts once its time has passed, although it is set again before', async () => {
    // Guards against time limits that are never enforced while data keeps arriving.
    const order: string[] = [];
    await new Promise<void>((resolve) => {
      const timer = createWakeUpTimer(() => {
        order.push('due');
        timer.stop();
      });
      timer.set(1);
      // Runs after the timer above and before what that has deferred.
      setTimeout(() => {
        order.push('set again');
        timer.set(600_000);
        setImmediate(resolve);
      }, 1);
    });
    expect(order).toEqual(['set again', 'due']);
  });
});
