import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createProcessClock } from '../index';
import { listMember, startTestGateway } from './testMembers';

type TestGateway = ReturnType<typeof startTestGateway>;

/** Bound of the fixture, and what is kept of it for the way to the member. */
const BOUND_MILLISECONDS = 7_000;
const WAY_MILLISECONDS = 500;

const staying = listMember();
const leaving = listMember({ isLeaving: true, revision: 2 });
const successor = listMember({ memberId: 'db-2', address: 'db-2:1', isPrimary: false });

let gateway: TestGateway;

const settle = () => vi.advanceTimersByTimeAsync(1);

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway();
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

describe('a member that leaves', () => {
  it('gets new statements until its bound less the way there, and none afterwards', async () => {
    gateway.list([staying]);
    gateway.list([leaving], createProcessClock().readings());
    await vi.advanceTimersByTimeAsync(BOUND_MILLISECONDS - WAY_MILLISECONDS - 50);
    gateway.openSession().read('in-time');
    await settle();
    gateway.sent[0]?.answer();
    await vi.advanceTimersByTimeAsync(100);
    gateway.openSession().read('late');
    await settle();
    expect(gateway.idsSentTo('db-1')).toEqual(['in-time']);
  });

  it('gets no statement that was placed before and whose turn comes after its bound', async () => {
    // Guards against a check at the choice alone: statements wait for a turn or a connection.
    gateway.list([staying]);
    const first = gateway.openSession();
    const [second, waiting] = [gateway.openSession(), gateway.openSession()];
    first.read('first');
    second.read('second');
    await settle();
    waiting.read('waiting');
    await settle();
    gateway.list([leaving]);
    for (const { answer } of gateway.sent) answer();
    await settle();
    expect(gateway.idsSentTo('db-1')).toEqual(['first', 'second']);
    expect(waiting.answers).toMatchObject([{ outcome: 'refused', reason: 'busy' }]);
  });

  it('gets no statement for which a connection is prepared beyond its bound', async () => {
    // Guards against a check before the last wait: values are set on the connection first.
    gateway.list([staying]);
    gateway.hold('set');
    const session = gateway.openSession();
    session.set();
    session.read('after-set');
    await settle();
    gateway.list([leaving]);
    gateway.answerHeld();
    await settle();
    expect(gateway.sent).toEqual([]);
  });

  it('gets no first statement of a transaction that it began in time', async () => {
    // Guards against the wait of a first statement, which is new work like one of its own.
    gateway.list([staying]);
    gateway.hold('begin');
    const session = gateway.openSession();
    session.begin();
    session.read('first-of-transaction');
    await settle();
    gateway.list([leaving]);
    gateway.answerHeld();
    await settle();
    expect(gateway.sent).toEqual([]);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', transaction: 'failed' });
  });

  it('goes on with a transaction that has begun', async () => {
    gateway.list([staying]);
    const session = gateway.openSession();
    session.begin();
    session.read('one');
    await settle();
    gateway.sent[0]!.answer();
    gateway.list([leaving]);
    session.write('two');
    await settle();
    expect(gateway.idsSentTo('db-1')).toEqual(['one', 'two']);
  });

  it.each(['read', 'write'] as const)(
    'refuses a %s at once where nobody can take its place, with when to come back',
    async (type) => {
      // Guards against statements that wait until their deadline for a member that cannot come.
      gateway.list([staying]);
      gateway.list([leaving]);
      const session = gateway.openSession();
      session[type]('refused');
      await settle();
      expect(session.answers).toMatchObject([
        {
          outcome: 'refused',
          reason: 'busy',
          detail: expect.stringContaining('come back in 2000 ms'),
        },
      ]);
    },
  );

  it('is not looked at for a promotion that nobody could win', async () => {
    // Guards against a claim at the store each second, and its price, for as long as it leaves.
    gateway.list([staying]);
    gateway.list([leaving], createProcessClock().readings());
    await vi.advanceTimersByTimeAsync(5_000);
    expect(gateway.events.filter((event) => event === 'dutyClaimed')).toEqual([]);
    gateway.list([leaving, successor], createProcessClock().readings());
    await vi.advanceTimersByTimeAsync(2_000);
    expect(gateway.events).toContain('dutyClaimed');
  });

  it('leaves a write to the successor, for which it waits', async () => {
    // Guards against refusals during a promotion that is about to take effect.
    gateway.list([staying, successor]);
    gateway.list([leaving, successor]);
    const session = gateway.openSession();
    session.write('write');
    await vi.advanceTimersByTimeAsync(800);
    expect(session.answers).toEqual([]);
    gateway.list([leaving, { ...successor, isPrimary: true, revision: 3 }]);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(gateway.idsSentTo('db-1')).toEqual([]);
    expect(gateway.idsSentTo('db-2')).toEqual(['write']);
  });

  it('gets none once the time of day passes its bound, while the steady clock stood still', async () => {
    // Guards against a suspended machine, whose steady clock does not count the suspension.
    gateway.list([staying]);
    gateway.list([leaving], createProcessClock().readings());
    vi.setSystemTime(Date.now() + BOUND_MILLISECONDS);
    gateway.openSession().read('after-suspension');
    await settle();
    expect(gateway.sent).toEqual([]);
  });

  it('has left when it was first seen leaving, also where its entry lapsed meanwhile', async () => {
    // Guards against a bound that begins anew with each return of the entry.
    gateway.list([staying]);
    gateway.list([leaving], createProcessClock().readings());
    await vi.advanceTimersByTimeAsync(BOUND_MILLISECONDS);
    gateway.list([]);
    gateway.list([{ ...leaving, revision: 4 }], createProcessClock().readings());
    gateway.openSession().read('after-return');
    await settle();
    expect(gateway.sent).toEqual([]);
  });

  it('is not used where an instance that starts finds it leaving', async () => {
    // Guards against counting from the first look: it may have left at any time before.
    gateway.list([leaving]);
    gateway.openSession().read('at-start');
    await settle();
    expect(gateway.sent).toEqual([]);
  });

  it('is used again once it has started anew under its id', async () => {
    gateway.list([leaving]);
    gateway.list([listMember({ startedAt: 2, revision: 3 })]);
    gateway.openSession().read('anew');
    await settle();
    expect(gateway.idsSentTo('db-1')).toEqual(['anew']);
  });
});
