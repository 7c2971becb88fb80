import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Time after which a stop without work ends. */
const STOP_MILLISECONDS = 3_000;

/** Time after which a stop ends in any case, before the instance is killed at 6 s. */
const LONGEST_STOP_MILLISECONDS = 5_800;

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

let gateway: ReturnType<typeof startTestGateway>;
let isStopped: boolean;

beforeEach(async () => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway();
  gateway.updateMembers([createDirectoryEntry()]);
  isStopped = false;
  await settle(100);
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

function stop(): void {
  void gateway.gateway
    .drain(() => undefined)
    .then(() => {
      isStopped = true;
    });
}

describe('a planned stop', () => {
  it.each(['answers', 'responses'] as const)('waits until all %s are sent', async (what) => {
    // Guards against an answer that is cut because its caller reads slowly.
    gateway.openSession();
    gateway.unsent.add(what);
    stop();
    await settle(STOP_MILLISECONDS);
    expect(isStopped).toBe(false);
    gateway.unsent.clear();
    await settle(100);
    expect(isStopped).toBe(true);
  });

  it('ends within the grace period although a caller does not read', async () => {
    gateway.openSession();
    gateway.unsent.add('answers');
    stop();
    await settle(LONGEST_STOP_MILLISECONDS);
    expect(isStopped).toBe(true);
  });

  it('does not wait for a caller that has left', async () => {
    const session = gateway.openSession();
    gateway.unsent.add('answers');
    session.leave();
    stop();
    await settle(STOP_MILLISECONDS);
    expect(isStopped).toBe(true);
  });
});
