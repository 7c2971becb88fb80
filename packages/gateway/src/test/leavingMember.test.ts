import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createProcessClock } from '../index';
import { createDirectoryEntry, startTestGateway } from './testGateway';

type TestGateway = ReturnType<typeof startTestGateway>;

/** Leaving grace period of the fixture, and the part of it reserved for the network. */
const LEAVING_GRACE_PERIOD_MILLISECONDS = 7_000;
const TRANSIT_RESERVE_MILLISECONDS = 500;

const availableEntry = createDirectoryEntry();
const leavingEntry = createDirectoryEntry({ isLeaving: true, revision: 2 });
const successorEntry = createDirectoryEntry({
  memberId: 'db-2',
  address: 'db-2:1',
  isPrimary: false,
});

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

describe('a leaving member', () => {
  it('receives new statements until its grace period minus the transit reserve', async () => {
    gateway.updateMembers([availableEntry]);
    gateway.updateMembers([leavingEntry], createProcessClock().readClocks());
    await vi.advanceTimersByTimeAsync(
      LEAVING_GRACE_PERIOD_MILLISECONDS - TRANSIT_RESERVE_MILLISECONDS - 50,
    );
    gateway.openSession().read('in-time');
    await settle();
    gateway.forwarded[0]?.answer();
    await vi.advanceTimersByTimeAsync(100);
    gateway.openSession().read('late');
    await settle();
    expect(gateway.getForwardedIds('db-1')).toEqual(['in-time']);
  });

  it('receives no statement queued before the end of its grace period and dequeued after it', async () => {
    // Guards against checking the grace period only at member selection, before the queue.
    gateway.updateMembers([availableEntry]);
    const first = gateway.openSession();
    const [second, waiting] = [gateway.openSession(), gateway.openSession()];
    first.read('first');
    second.read('second');
    await settle();
    waiting.read('waiting');
    await settle();
    gateway.updateMembers([leavingEntry]);
    for (const { answer } of gateway.forwarded) answer();
    await settle();
    expect(gateway.getForwardedIds('db-1')).toEqual(['first', 'second']);
    expect(waiting.answers).toMatchObject([{ outcome: 'refused', reason: 'busy' }]);
  });

  it('receives no statement whose connection setup ends after the grace period', async () => {
    // Guards against checking the grace period before the session values are set on the connection.
    gateway.updateMembers([availableEntry]);
    gateway.holdAnswers('set');
    const session = gateway.openSession();
    session.set();
    session.read('after-set');
    await settle();
    gateway.updateMembers([leavingEntry]);
    gateway.releaseAnswers();
    await settle();
    expect(gateway.forwarded).toEqual([]);
  });

  it('receives no first statement of a transaction that began before the end of the grace period', async () => {
    // Guards against treating the first statement as part of a transaction in progress.
    gateway.updateMembers([availableEntry]);
    gateway.holdAnswers('begin');
    const session = gateway.openSession();
    session.begin();
    session.read('first-of-transaction');
    await settle();
    gateway.updateMembers([leavingEntry]);
    gateway.releaseAnswers();
    await settle();
    expect(gateway.forwarded).toEqual([]);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', transaction: 'failed' });
  });

  it('continues a transaction in progress', async () => {
    gateway.updateMembers([availableEntry]);
    const session = gateway.openSession();
    session.begin();
    session.read('one');
    await settle();
    gateway.forwarded[0]!.answer();
    gateway.updateMembers([leavingEntry]);
    session.write('two');
    await settle();
    expect(gateway.getForwardedIds('db-1')).toEqual(['one', 'two']);
  });

  it.each(['read', 'write'] as const)(
    'refuses a %s immediately with a retry time if no other member exists',
    async (type) => {
      // Guards against waiting until the deadline for a successor that cannot exist.
      gateway.updateMembers([availableEntry]);
      gateway.updateMembers([leavingEntry]);
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

  it('causes no promotion claim while no candidate exists', async () => {
    // Guards against repeated store calls for as long as the member is leaving.
    gateway.updateMembers([availableEntry]);
    gateway.updateMembers([leavingEntry], createProcessClock().readClocks());
    await vi.advanceTimersByTimeAsync(5_000);
    expect(gateway.events.filter((event) => event === 'dutyClaimed')).toEqual([]);
    gateway.updateMembers([leavingEntry, successorEntry], createProcessClock().readClocks());
    await vi.advanceTimersByTimeAsync(2_000);
    expect(gateway.events).toContain('dutyClaimed');
  });

  it('is bypassed by a write, which waits for the successor', async () => {
    // Guards against refusing writes while a promotion is in progress.
    gateway.updateMembers([availableEntry, successorEntry]);
    gateway.updateMembers([leavingEntry, successorEntry]);
    const session = gateway.openSession();
    session.write('write');
    await vi.advanceTimersByTimeAsync(800);
    expect(session.answers).toEqual([]);
    gateway.updateMembers([leavingEntry, { ...successorEntry, isPrimary: true, revision: 3 }]);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(gateway.getForwardedIds('db-1')).toEqual([]);
    expect(gateway.getForwardedIds('db-2')).toEqual(['write']);
  });

  it('receives no statement after its grace period if the monotonic clock stops meanwhile', async () => {
    // Guards against a suspended machine, whose monotonic clock does not count the suspension.
    gateway.updateMembers([availableEntry]);
    gateway.updateMembers([leavingEntry], createProcessClock().readClocks());
    vi.setSystemTime(Date.now() + LEAVING_GRACE_PERIOD_MILLISECONDS);
    gateway.openSession().read('after-suspension');
    await settle();
    expect(gateway.forwarded).toEqual([]);
  });

  it('keeps its first leaving time if its entry lapses and returns', async () => {
    // Guards against restarting the grace period whenever the entry returns.
    gateway.updateMembers([availableEntry]);
    gateway.updateMembers([leavingEntry], createProcessClock().readClocks());
    await vi.advanceTimersByTimeAsync(LEAVING_GRACE_PERIOD_MILLISECONDS);
    gateway.updateMembers([]);
    gateway.updateMembers([{ ...leavingEntry, revision: 4 }], createProcessClock().readClocks());
    gateway.openSession().read('after-return');
    await settle();
    expect(gateway.forwarded).toEqual([]);
  });

  it('is not used by an instance that finds it leaving at startup', async () => {
    // Guards against counting from the first directory read; it may have been leaving earlier.
    gateway.updateMembers([leavingEntry]);
    gateway.openSession().read('at-start');
    await settle();
    expect(gateway.forwarded).toEqual([]);
  });

  it('is used again after a restart under the same id', async () => {
    gateway.updateMembers([leavingEntry]);
    gateway.updateMembers([createDirectoryEntry({ startedAt: 2, revision: 3 })]);
    gateway.openSession().read('after-restart');
    await settle();
    expect(gateway.getForwardedIds('db-1')).toEqual(['after-restart']);
  });
});
