import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Longer than it takes until a replica has shown that the primary's answers are current. */
const EVIDENCE_MILLISECONDS = 500;

/** Time limit of a statement on the test route. */
const STATEMENT_TIMEOUT_MILLISECONDS = 5_000;

const settle = () => vi.advanceTimersByTimeAsync(1);

let gateway: ReturnType<typeof startTestGateway>;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway({ getPosition: () => ({ term: 1, index: 1 }) });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

describe("a connection on which only a part of a session's values could be set", () => {
  it('shows none of them to the statements of other sessions', async () => {
    // Guards against statements that run with values which another session has set.
    const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
    gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
    await vi.advanceTimersByTimeAsync(100);
    const session = gateway.openSession();
    session.begin();
    session.read('earlier');
    await settle();
    gateway.forwarded[0]!.answer();
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    session.set('a', '1');
    session.set('b', '2');
    gateway.refuseNext('set');
    session.read('refused');
    session.rollback();
    await settle();
    const other = gateway.openSession();
    other.begin();
    other.read('other');
    await settle();
    expect(session.answers.map(({ outcome }) => outcome)).toEqual([
      'completed',
      'completed',
      'completed',
      'completed',
      'refused',
      'completed',
    ]);
    expect(gateway.forwarded.map(({ id, values }) => ({ id, values }))).toEqual([
      { id: 'earlier', values: {} },
      { id: 'other', values: {} },
    ]);
  });
});

describe('a transaction on a connection whose values are not set in time', () => {
  it('fails at the time limit of the statement', async () => {
    // Guards against a caller that waits for as long as a member which has gone silent.
    gateway.updateMembers([createDirectoryEntry()]);
    await vi.advanceTimersByTimeAsync(100);
    const session = gateway.openSession();
    session.begin();
    session.write('earlier');
    await settle();
    gateway.forwarded[0]!.answer();
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    gateway.holdAnswers('set');
    session.set();
    session.write('late');
    await vi.advanceTimersByTimeAsync(STATEMENT_TIMEOUT_MILLISECONDS + 10);
    expect(session.answers).toHaveLength(4);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', reason: 'aborted' });
    gateway.releaseAnswers();
    await settle();
    expect(gateway.getForwardedIds('db-1')).toEqual(['earlier']);
  });
});
