import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Longer than the time after which a read is tried at a second member. */
const HEDGE_MILLISECONDS = 260;

/** Time limit of a statement on the test route. */
const STATEMENT_TIMEOUT_MILLISECONDS = 5_000;

/** Number of statements of one instance that run concurrently at a test member. */
const STATEMENT_LIMIT = 2;

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

const findForwarded = (id: string, memberId: string) =>
  gateway.forwarded.find((sent) => sent.id === id && sent.memberId === memberId);

/** What a second attempt, which always goes to `db-1`, can wait for. */
const waits = {
  connection: {
    prepare: async () => {
      const other = gateway.openSession();
      other.begin();
      other.write('other');
      await settle();
      gateway.holdConnections('db-1');
    },
    end: () => gateway.releaseConnections(),
  },
  preparation: {
    prepare: async () => gateway.holdAnswers('set'),
    end: () => gateway.releaseAnswers(),
  },
  admission: {
    prepare: async () => {
      for (let count = 0; count < STATEMENT_LIMIT; count += 1) {
        gateway.openSession().write('other');
      }
      await settle();
    },
    end: () => findForwarded('other', 'db-1')!.answer(),
  },
};

type WaitName = keyof typeof waits;

/** Lists the primary `db-1` and the replica `db-2`. */
async function listMembers(): Promise<void> {
  const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
  gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
  await vi.advanceTimersByTimeAsync(100);
}

/** Opens a session that has set `a` to 1 and whose first read ran at `db-2`. */
async function openSession() {
  await listMembers();
  const session = gateway.openSession();
  session.set();
  session.read('earlier');
  await settle();
  findForwarded('earlier', 'db-2')!.answer();
  await settle();
  return session;
}

/** Hedges the read `hedged` of a session that has set `a` to 1; its second attempt waits. */
async function hedgeRead(waitName: WaitName) {
  const session = await openSession();
  await waits[waitName].prepare();
  session.read('hedged');
  await vi.advanceTimersByTimeAsync(HEDGE_MILLISECONDS);
  expect(gateway.events).toContain('readHedged');
  expect(findForwarded('hedged', 'db-1')).toBeUndefined();
  return session;
}

describe('a read that is tried at a second member', () => {
  it.each(Object.keys(waits) as WaitName[])(
    'is not sent there once the first has answered, during its wait for its %s',
    async (waitName) => {
      // Guards against running a statement with values that its caller has set since.
      const session = await hedgeRead(waitName);
      findForwarded('hedged', 'db-2')!.answer();
      session.set('a', '2');
      await settle();
      waits[waitName].end();
      await settle();
      expect(session.answers.map(({ outcome }) => outcome)).toEqual(Array(4).fill('completed'));
      expect(gateway.findLines('readAttemptNotSent')).toMatchObject([{ cause: 'abandoned' }]);
      expect(gateway.getForwardedIds('db-1').filter((id) => id !== 'other')).toEqual([]);
      expect(gateway.getForwardedIds('db-2')).toEqual(['earlier', 'hedged']);
    },
  );

  it('takes no connection there once the first attempt is answered', async () => {
    // Guards against opening or preparing a connection for a statement that is over.
    const session = await hedgeRead('admission');
    findForwarded('hedged', 'db-2')!.answer();
    session.set('a', '2');
    await settle();
    waits.admission.end();
    await settle();
    expect(gateway.countCommands('db-1', 'set')).toBe(0);
  });

  it('runs there with the values that it arrived with, although its caller was told of a failure', async () => {
    // Guards against running a statement with values that its caller has set since.
    const session = await hedgeRead('connection');
    findForwarded('hedged', 'db-2')!.answerMalformed();
    await settle();
    session.set('a', '2');
    await settle();
    gateway.releaseConnections();
    await settle();
    expect(session.answers.map(({ outcome }) => outcome)).toEqual([
      'completed',
      'completed',
      'refused',
      'completed',
    ]);
    expect(findForwarded('hedged', 'db-1')).toMatchObject({ values: { a: '1' } });
  });

  it('leaves none of its values to the next session if its caller leaves meanwhile', async () => {
    // Guards against a statement that runs with the values which another session has set.
    const session = await hedgeRead('preparation');
    session.leave();
    gateway.releaseAnswers();
    await settle();
    for (const run of gateway.forwarded) run.answer();
    await settle();
    gateway.openSession().write('other');
    await settle();
    expect(gateway.getForwardedIds('db-1')).toEqual(['hedged', 'other']);
    expect(findForwarded('hedged', 'db-1')).toMatchObject({ values: { a: '1' } });
    expect(findForwarded('other', 'db-1')).toMatchObject({ values: {} });
  });

  it('runs there as it was prepared, although its caller has used the name again', async () => {
    // Guards against running another statement than the caller had prepared under the name.
    const session = await openSession();
    session.prepare('s1', 'shape-1');
    await waits.connection.prepare();
    gateway.holdAnswers('execute');
    session.execute('s1');
    await vi.advanceTimersByTimeAsync(HEDGE_MILLISECONDS);
    expect(gateway.events).toContain('readHedged');
    gateway.spoilFirstAnswer();
    await settle();
    session.prepare('s1', 'shape-2');
    session.execute('s1');
    await settle();
    waits.connection.end();
    await settle();
    const executed = gateway.executed.map(({ memberId, shape }) => `${memberId} ${shape}`);
    expect(executed).toEqual(['db-2 shape-1', 'db-2 shape-2', 'db-1 shape-1']);
    expect(gateway.executed.every(({ isPrepared }) => isPrepared)).toBe(true);
  });

  it.each(['connection', 'preparation'] as const)(
    'is not sent there after its time limit, during its wait for its %s',
    async (waitName) => {
      // Guards against running a statement with values that its caller has set since a refusal.
      const session = await hedgeRead(waitName);
      await vi.advanceTimersByTimeAsync(STATEMENT_TIMEOUT_MILLISECONDS);
      session.set('a', '2');
      await settle();
      waits[waitName].end();
      await settle();
      expect(session.answers.map(({ outcome }) => outcome)).toEqual([
        'completed',
        'completed',
        'refused',
        'completed',
      ]);
      expect(gateway.getForwardedIds('db-1')).not.toContain('hedged');
    },
  );

  it.each([
    ['answer, then connection', 'connection', ['answer', 'end']],
    ['connection, then answer', 'connection', ['end', 'answer']],
    ['answer, then preparation', 'preparation', ['answer', 'end']],
    ['preparation, then answer', 'preparation', ['end', 'answer']],
  ] as const)(
    'runs with the values of its arrival if its instance has paused: %s',
    async (_, waitName, order) => {
      // Guards against later values where a pause lets several events come at once.
      const session = await hedgeRead(waitName);
      const events = {
        answer: () => findForwarded('hedged', 'db-2')!.answer(),
        end: () => waits[waitName].end(),
      };
      for (const event of order) events[event]();
      session.set('a', '2');
      session.read('next');
      await settle();
      const values = gateway.forwarded
        .filter(({ id }) => id === 'hedged')
        .map((run) => run.values.a);
      expect(new Set(values)).toEqual(new Set(['1']));
      gateway.releaseAnswers();
      await settle();
      expect(findForwarded('next', 'db-2') ?? findForwarded('next', 'db-1')).toMatchObject({
        values: { a: '2' },
      });
    },
  );

  it('logs the values of each attempt, and whether it was sent', async () => {
    // Guards against a statement that ran twice and whose log does not tell with which values.
    await hedgeRead('preparation');
    findForwarded('hedged', 'db-2')!.answer();
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
