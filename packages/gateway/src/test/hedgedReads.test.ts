import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Longer than the time after which a read is tried at a second member. */
const HEDGE_MILLISECONDS = 400;

const settle = () => vi.advanceTimersByTimeAsync(1);

let gateway: ReturnType<typeof startTestGateway>;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway({
    getPosition: () => ({ term: 1, index: 1 }),
    changes: { consistency: 'boundedStaleness', maximumStaleness: 4_000 },
  });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

/** Hedges a read of a session that sets a value; the second attempt prepares its connection. */
async function hedgeRead() {
  const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
  gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
  await vi.advanceTimersByTimeAsync(100);
  const session = gateway.openSession();
  session.set();
  session.read('earlier');
  await settle();
  gateway.forwarded[0]!.answer();
  await settle();
  gateway.holdAnswers('set');
  session.read('hedged');
  await vi.advanceTimersByTimeAsync(HEDGE_MILLISECONDS);
  expect(gateway.events).toContain('readHedged');
  return session;
}

describe('a read that is tried at a second member', () => {
  it('is not sent there once the first has answered', async () => {
    // Guards against running a statement with values that its caller has set since.
    const session = await hedgeRead();
    gateway.forwarded[1]!.answer();
    session.set();
    await settle();
    gateway.releaseAnswers();
    await settle();
    expect(session.answers.map(({ outcome }) => outcome)).toEqual(Array(4).fill('completed'));
    expect(gateway.getForwardedIds('db-1')).toEqual([]);
    expect(gateway.getForwardedIds('db-2')).toEqual(['earlier', 'hedged']);
  });

  it('logs the values of each attempt, and whether it was sent', async () => {
    // Guards against a statement that ran twice and whose log does not tell with which values.
    await hedgeRead();
    gateway.forwarded[1]!.answer();
    await settle();
    gateway.releaseAnswers();
    await settle();
    const attempts = [
      ...gateway.findLines('readAttemptSent'),
      ...gateway.findLines('readAttemptNotSent'),
    ];
    expect(attempts).toMatchSnapshot();
  });
});
