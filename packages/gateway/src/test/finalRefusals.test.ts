import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Longer than it takes until a replica has shown that the primary's answers are current. */
const EVIDENCE_MILLISECONDS = 500;

/** Time limit of a statement on the test route. */
const STATEMENT_TIMEOUT_MILLISECONDS = 5_000;

let gateway: ReturnType<typeof startTestGateway>;

beforeEach(async () => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway({
    getPosition: () => ({ term: 1, index: 1 }),
    changes: { consistency: 'boundedStaleness', maximumStaleness: 4_000 },
  });
  const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
  gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
  await vi.advanceTimersByTimeAsync(100);
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

function openPreparedSession() {
  const session = gateway.openSession();
  session.prepare('s1', 'shape-1');
  return session;
}

const countExecutions = () =>
  gateway.countCommands('db-1', 'execute') + gateway.countCommands('db-2', 'execute');

const countPreparations = () =>
  gateway.countCommands('db-1', 'prepare') + gateway.countCommands('db-2', 'prepare');

describe('a prepared statement', () => {
  it('that no member can take is refused at once, without another try', async () => {
    // Guards against a statement that is sent again and again although no member can ever run it.
    gateway.refuseAll('prepare', 'malformed');
    const session = openPreparedSession();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', reason: 'malformed' });
    expect(countPreparations()).toBe(1);
  });

  it('whose connection cannot be reset is tried at another one', async () => {
    // Guards against a refusal that is due to a connection and is told to be due to the statement.
    const first = gateway.openSession();
    first.set();
    first.read('first');
    await vi.advanceTimersByTimeAsync(1);
    gateway.forwarded[0]!.answer();
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    gateway.refuseAll('reset', 'malformed');
    const session = openPreparedSession();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'completed' });
  });

  it('that no member can take is refused at once in a transaction', async () => {
    // Guards against a transaction that waits for a member until its time is over.
    gateway.refuseAll('prepare', 'malformed');
    const session = openPreparedSession();
    session.begin();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', reason: 'malformed' });
    expect(countPreparations()).toBe(1);
  });

  it('that a member has lost is prepared once more', async () => {
    // Guards against a statement that is sent to a connection without it until its time is over.
    const session = openPreparedSession();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    gateway.losePrepared();
    const before = countExecutions();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'completed' });
    expect(countExecutions() - before).toBe(2);
  });

  it('that a member has lost is prepared once more in its transaction', async () => {
    // Guards against a transaction that ends because its connection no longer has a statement.
    const session = openPreparedSession();
    session.begin();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    gateway.losePrepared();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'completed', transaction: 'open' });
    expect(countPreparations()).toBe(2);
  });

  it('that a member does not know right after preparing it is refused, as not run', async () => {
    // Guards against hundreds of tries a second that all end the same way.
    gateway.refuseAll('execute', 'unknownStatement');
    const session = openPreparedSession();
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(STATEMENT_TIMEOUT_MILLISECONDS);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', reason: 'aborted' });
    expect(countExecutions()).toBe(1);
  });
});
