import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Longer than the time after which a read is tried at a second member. */
const HEDGE_MILLISECONDS = 260;

/** Longer than it takes until a replica has shown that the primary's answers are current. */
const EVIDENCE_MILLISECONDS = 500;

/** Number of statements of one instance that run concurrently at a test member. */
const STATEMENT_LIMIT = 2;

/** Time limit of a statement on the test route. */
const STATEMENT_TIMEOUT_MILLISECONDS = 5_000;

/** More statements than a connection keeps prepared. */
const MANY_STATEMENTS = 210;

const settle = () => vi.advanceTimersByTimeAsync(1);

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

type Session = ReturnType<typeof gateway.openSession>;

const findRuns = (id: string) => gateway.forwarded.filter((run) => run.id === id);

const listOutcomes = ({ answers }: Session) => answers.map(({ outcome }) => outcome);

/** Runs a read to its end. */
async function completeRead(session: Session, id: string): Promise<void> {
  session.read(id);
  await settle();
  findRuns(id)[0]!.answer();
  await settle();
}

/** Runs a write to its end, which includes that a replica has been seen to hold it. */
async function completeWrite(session: Session, id: string): Promise<void> {
  session.write(id);
  await settle();
  findRuns(id)[0]!.answer();
  await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
}

/** Starts writes of as many new sessions, so that they use all connections to the primary. */
async function startWrites(id: string, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) gateway.openSession().write(id);
  await vi.advanceTimersByTimeAsync(100);
}

describe('a statement', () => {
  it('has the values that were set in a transaction, also after its roll-back', async () => {
    // Guards against values that are undone with a transaction although their setting was acknowledged.
    const session = gateway.openSession();
    session.begin();
    session.write('first');
    await settle();
    findRuns('first')[0]!.answer();
    await vi.advanceTimersByTimeAsync(EVIDENCE_MILLISECONDS);
    session.set('a', '1');
    session.rollback();
    await completeWrite(session, 'later');
    await startWrites('other', STATEMENT_LIMIT);
    expect(findRuns('later')).toMatchObject([{ values: { a: '1' }, transaction: 'idle' }]);
    const withoutValues = { values: {}, transaction: 'idle' };
    expect(findRuns('other')).toMatchObject(Array(STATEMENT_LIMIT).fill(withoutValues));
    expect(gateway.countCommands('db-1', 'reset')).toBe(1);
  });

  it('has no value whose setting was refused in a failed transaction', async () => {
    // Guards against a value that was refused to the caller and is set all the same.
    const session = gateway.openSession();
    session.begin();
    session.write('unanswered');
    await vi.advanceTimersByTimeAsync(STATEMENT_TIMEOUT_MILLISECONDS + 10);
    session.set('a', '1');
    session.rollback();
    await completeRead(session, 'later');
    const [begun, failed, refused, ...ended] = listOutcomes(session);
    expect([begun, failed, refused]).toEqual(['completed', 'refused', 'refused']);
    expect(ended).toEqual(['completed', 'completed']);
    expect(findRuns('later')).toMatchObject([{ values: {} }]);
  });

  it('has its values in a transaction whose connection is reset within it', async () => {
    // Guards against statements without the session's values after a connection was reset for the
    // number of its prepared statements.
    const session = gateway.openSession();
    session.set('a', '1');
    session.begin(true);
    for (let index = 0; index < MANY_STATEMENTS; index += 1) {
      session.prepare('s1', `shape-${index}`);
      session.execute('s1');
    }
    await vi.advanceTimersByTimeAsync(100);
    expect(gateway.executed).toHaveLength(MANY_STATEMENTS);
    expect(gateway.executed.every(({ isPrepared }) => isPrepared)).toBe(true);
    expect(new Set(gateway.executed.map(({ values }) => values.a))).toEqual(new Set(['1']));
    const { memberId } = gateway.executed[0]!;
    expect(gateway.countCommands(memberId, 'reset')).toBe(1);
  });

  it('has its own values on a connection that refuses to be reset', async () => {
    // Guards against a statement that runs with the values which another session has set.
    const session = gateway.openSession();
    session.set('a', '1');
    await completeWrite(session, 'first');
    gateway.refuseNext('reset');
    await startWrites('other', STATEMENT_LIMIT);
    expect(gateway.countCommands('db-1', 'reset')).toBe(1);
    expect(findRuns('other')).toMatchObject(Array(STATEMENT_LIMIT).fill({ values: {} }));
  });

  it('has its own values beside a connection whose preparation ran into the time limit', async () => {
    // Guards against a connection that is used again while commands of its preparation are unanswered.
    const session = gateway.openSession();
    session.set('a', '1');
    gateway.holdAnswers('set');
    session.write('late');
    await vi.advanceTimersByTimeAsync(STATEMENT_TIMEOUT_MILLISECONDS + 100);
    expect(listOutcomes(session)).toEqual(['completed', 'refused']);
    expect(gateway.countClosedConnections('db-1')).toBe(1);
    await startWrites('other', 1);
    gateway.releaseAnswers();
    await settle();
    expect(findRuns('late')).toEqual([]);
    expect(findRuns('other')).toMatchObject([{ values: {} }]);
  });
});

describe('a connection that an attempt gives back unused', () => {
  it('has the values of the next session', async () => {
    // Guards against a statement that runs with the values which another session has set.
    const session = gateway.openSession();
    session.set('a', '1');
    await completeRead(session, 'earlier');
    gateway.holdAnswers('set');
    session.read('hedged');
    await vi.advanceTimersByTimeAsync(HEDGE_MILLISECONDS);
    findRuns('hedged')[0]!.answer();
    await settle();
    gateway.releaseAnswers();
    await settle();
    const other = gateway.openSession();
    other.set('b', '2');
    other.write('other');
    await settle();
    gateway.releaseAnswers();
    await settle();
    expect(gateway.findLines('readAttemptNotSent')).toMatchObject([
      { memberId: 'db-1', cause: 'abandoned' },
    ]);
    expect(findRuns('other')).toMatchObject([{ memberId: 'db-1', values: { b: '2' } }]);
  });
});

describe('a read-only transaction that is begun at two members', () => {
  it('leaves neither itself nor its values on the connection that it does not use', async () => {
    // Guards against a statement that runs in another session's transaction or with its values.
    const session = gateway.openSession();
    session.set('a', '1');
    gateway.holdAnswers('begin');
    session.begin(true);
    session.read('inside');
    await vi.advanceTimersByTimeAsync(HEDGE_MILLISECONDS);
    expect(gateway.events).toContain('readHedged');
    gateway.releaseLastAnswer();
    await settle();
    const [inside] = findRuns('inside');
    expect(inside).toMatchObject({ memberId: 'db-1', transaction: 'open', values: { a: '1' } });
    inside!.answer();
    await settle();
    session.set('a', '2');
    session.rollback();
    gateway.releaseAnswers();
    await settle();
    for (const id of ['next', 'after']) await completeRead(gateway.openSession(), id);
    for (const id of ['next', 'after']) {
      expect(findRuns(id)).toMatchObject([{ memberId: 'db-2', transaction: 'idle', values: {} }]);
    }
    expect(gateway.countCommands('db-2', 'rollback')).toBe(1);
  });
});
