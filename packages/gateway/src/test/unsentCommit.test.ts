import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Number of statements of one instance that run concurrently at a test member. */
const STATEMENT_LIMIT = 2;

/** Time limit of a statement on the test route. */
const STATEMENT_TIMEOUT_MILLISECONDS = 5_000;

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

let gateway: ReturnType<typeof startTestGateway>;

beforeEach(async () => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway({ getPosition: () => ({ term: 1, index: 1 }) });
  const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
  gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
  await settle(100);
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

/** Begins a transaction with a write, then has others use all that the member runs at a time. */
async function writeBesideOthers() {
  const session = gateway.openSession();
  session.begin();
  session.write('w1');
  await settle();
  gateway.forwarded[0]!.answer();
  await settle(500);
  gateway.updateRoute(2, { timeout: 10 * STATEMENT_TIMEOUT_MILLISECONDS });
  for (let count = 0; count < STATEMENT_LIMIT; count += 1) gateway.openSession().write('other');
  await settle();
  return session;
}

it('a commit that could not be sent in time leaves nothing behind', async () => {
  // Guards against a caller that must not repeat a transaction of which nothing was committed.
  const session = await writeBesideOthers();
  session.commit();
  await settle(STATEMENT_TIMEOUT_MILLISECONDS + 10);
  expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', reason: 'aborted' });
  expect(gateway.getForwardedIds('db-1')).not.toContain('commit');
  expect(gateway.countClosedConnections('db-1')).toBe(1);
});

it('a commit that was sent and not answered has an unknown outcome', async () => {
  const session = await writeBesideOthers();
  session.commit();
  gateway.forwarded.find(({ id }) => id === 'other')!.answer();
  await settle(STATEMENT_TIMEOUT_MILLISECONDS + 10);
  expect(gateway.getForwardedIds('db-1')).toContain('commit');
  expect(session.answers.at(-1)).toMatchObject({ reason: 'unknownOutcome' });
});
