import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
});

afterEach(() => {
  vi.useRealTimers();
});

it('shows no read of a member that lost the log of the term that it led', async () => {
  // Guards against an answer of an earlier term that passes for one of the member's own term.
  const newest = { term: 2, index: 9 };
  const positions: Record<string, typeof newest> = { 'db-1': newest, 'db-2': newest };
  const gateway = startTestGateway({ getPosition: (memberId) => positions[memberId]! });
  const copy = createDirectoryEntry({ memberId: 'db-2', address: 'db-2:1', isPrimary: false });
  gateway.updateMembers([createDirectoryEntry(), copy]);
  const session = gateway.openSession();
  const readOnce = async () => {
    session.read('r');
    await settle(50);
    for (const { answer } of gateway.forwarded.splice(0)) answer();
    await settle(1_000);
  };
  await readOnce();
  expect(session.answers).toMatchObject([{ outcome: 'completed' }]);
  positions['db-1'] = { term: 1, index: 1 };
  await readOnce();
  expect(session.answers).toHaveLength(1);
  gateway.close();
});
