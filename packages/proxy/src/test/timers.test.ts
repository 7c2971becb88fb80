import { describe, expect, it } from 'vitest';
import { createWakeUpTimer } from '../lib/statements/group/timers';
import { blockProcess } from './blockProcess';

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
      // Both timers are due in the same turn of the event loop, so this one runs before what the first
      // has deferred.
      setTimeout(() => {
        order.push('set again');
        timer.set(600_000);
        setImmediate(resolve);
      }, 1);
      blockProcess(20);
    });
    expect(order).toEqual(['set again', 'due']);
  });
});
