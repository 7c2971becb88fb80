import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createProcessClock } from '../index';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Number of statements of one instance that run concurrently at a test member. */
const STATEMENT_LIMIT = 2;

const settle = () => vi.advanceTimersByTimeAsync(1);

let gateway: ReturnType<typeof startTestGateway>;

/** Lists the primary `db-1` and the replica `db-2`, to which reads go first. */
async function start({ isEnabled = true } = {}): Promise<void> {
  gateway = startTestGateway({
    getPosition: () => ({ term: 1, index: 1 }),
    changes: { consistency: 'boundedStaleness', maximumStaleness: 4_000 },
    loadControls: new Set(isEnabled ? (['failureEjection'] as const) : []),
  });
  const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
  gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
  await vi.advanceTimersByTimeAsync(100);
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

const findForwarded = (id: string, memberId: string) =>
  gateway.forwarded.findLast((sent) => sent.id === id && sent.memberId === memberId);

const listRuns = (id: string) =>
  gateway.forwarded.filter((sent) => sent.id === id).map(({ memberId }) => memberId);

/** Has a read fail at `db-2`, and answers its repetition at `db-1` if there is one. */
async function failRead(session: ReturnType<typeof gateway.openSession>, id: string) {
  session.read(id);
  await settle();
  findForwarded(id, 'db-2')?.fail();
  await settle();
  findForwarded(id, 'db-1')?.answer();
  await settle();
}

async function failReads(count: number) {
  const session = gateway.openSession();
  for (let index = 0; index < count; index += 1) await failRead(session, `failed-${index}`);
  return session;
}

/** Keeps the primary from running anything else. */
async function fillPrimary(): Promise<void> {
  for (let count = 0; count < STATEMENT_LIMIT; count += 1) gateway.openSession().write('filler');
  await settle();
}

describe('a read that fails at a replica', () => {
  it('is repeated once at another member under the rules of its first attempt', async () => {
    // Guards against a repetition with other session values or with an older required position.
    await start();
    const session = gateway.openSession();
    session.set();
    session.read('read');
    session.set('a', '2');
    await settle();
    findForwarded('read', 'db-2')!.fail();
    await settle();
    const [first, second] = gateway.forwarded;
    expect(first).toMatchObject({ memberId: 'db-2', values: { a: '1' } });
    expect(second).toMatchObject({ memberId: 'db-1', values: { a: '1' }, after: first!.after });
    expect(second!.after).toEqual({ term: 1, index: 1 });
    second!.answer();
    await settle();
    expect(session.answers.map(({ outcome }) => outcome)).toEqual(Array(3).fill('completed'));
    expect(gateway.findLines('failedReadRepeated')).toMatchObject([{ memberId: 'db-2' }]);
    expect(gateway.listMemberFailures()).toMatchObject([{ repeatedReads: 1 }, {}]);
  });

  it('is answered with the second failure, and not repeated again', async () => {
    await start();
    const session = gateway.openSession();
    session.read('read');
    await settle();
    findForwarded('read', 'db-2')!.fail();
    await settle();
    findForwarded('read', 'db-1')!.fail();
    await settle();
    expect(session.answers).toMatchObject([{ reason: 'failed', detail: 'db-1' }]);
    expect(listRuns('read')).toEqual(['db-2', 'db-1']);
  });

  it('is answered with the first failure if the repetition finds no capacity', async () => {
    // Guards against a refusal as not run for a statement that has run.
    await start();
    const session = gateway.openSession();
    session.read('read');
    await settle();
    await fillPrimary();
    findForwarded('read', 'db-2')!.fail();
    await vi.advanceTimersByTimeAsync(5_000);
    expect(session.answers).toMatchObject([{ reason: 'failed', detail: 'db-2' }]);
    expect(listRuns('read')).toEqual(['db-2']);
  });

  it('is answered with the first failure if the primary queues more than it can run', async () => {
    // Guards against a search that alternates between the failed member and the full one without a
    // pause, in which the process handles nothing else.
    await start();
    const session = gateway.openSession();
    session.read('read');
    await settle();
    for (let count = 0; count < 700; count += 1) gateway.openSession().write(`filler-${count}`);
    await settle();
    findForwarded('read', 'db-2')!.fail();
    await vi.advanceTimersByTimeAsync(5_000);
    expect(session.answers).toMatchObject([{ reason: 'failed', detail: 'db-2' }]);
  });

  it('is not repeated at a member beyond its leaving grace period', async () => {
    await start();
    const leaving = createDirectoryEntry({ isLeaving: true, revision: 2 });
    const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false };
    const entries = [leaving, createDirectoryEntry(replica)];
    gateway.updateMembers(entries, createProcessClock().readClocks());
    gateway.setEntriesAtRefresh(entries);
    await vi.advanceTimersByTimeAsync(7_000);
    const session = gateway.openSession();
    await failRead(session, 'read');
    expect(session.answers).toMatchObject([{ reason: 'failed' }]);
    expect(listRuns('read')).toEqual(['db-2']);
  });

  it('is not repeated once the budget is spent', async () => {
    // Guards against twice the load while many statements fail.
    await start();
    const sessions = Array.from({ length: 12 }, () => gateway.openSession());
    for (const [index, session] of sessions.entries()) {
      session.read(`read-${index}`);
      await settle();
      for (const memberId of ['db-2', 'db-1']) findForwarded(`read-${index}`, memberId)?.fail();
      await settle();
      findForwarded(`read-${index}`, 'db-1')?.fail();
      await settle();
    }
    const repeated = sessions.filter((_, index) => listRuns(`read-${index}`).length > 1);
    expect(repeated).toHaveLength(6);
    const [db2] = gateway.listMemberFailures();
    expect(db2).toMatchObject({ repeatedReads: 6, budgetExhausted: 6, ejections: 0 });
  });

  it('is final within a transaction, and so is a write', async () => {
    await start();
    const session = gateway.openSession();
    session.begin(true);
    session.read('step');
    await settle();
    findForwarded('step', 'db-2')!.fail();
    const writer = gateway.openSession();
    writer.write('write');
    await settle();
    findForwarded('write', 'db-1')!.fail();
    await settle();
    expect(session.answers.at(-1)).toMatchObject({ reason: 'failed' });
    expect(writer.answers.at(-1)).toMatchObject({ reason: 'failed' });
    expect([listRuns('step'), listRuns('write')]).toEqual([['db-2'], ['db-1']]);
  });

  it('is final where the control is off, and its replica gets the next reads', async () => {
    // Guards against any effect in deployments that do not ask for the control.
    await start({ isEnabled: false });
    const session = await failReads(20);
    expect(session.answers.map((answer) => answer.outcome === 'refused' && answer.reason)).toEqual(
      Array(20).fill('failed'),
    );
    expect(gateway.getForwardedIds('db-2')).toHaveLength(20);
    expect(gateway.getForwardedIds('db-1')).toEqual([]);
    expect(gateway.events).not.toContain('memberEjected');
    expect(gateway.listMemberFailures()).toEqual([]);
  });
});

describe('a replica that refuses reads as not run', () => {
  it('is not ejected', async () => {
    // Guards against taking a member for faulty that is only busy.
    await start();
    const session = gateway.openSession();
    for (let index = 0; index < 8; index += 1) {
      session.read(`busy-${index}`);
      await settle();
      findForwarded(`busy-${index}`, 'db-2')!.fail('busy');
      // The primary is slow, so that reads go to the replica first.
      await vi.advanceTimersByTimeAsync(40);
      findForwarded(`busy-${index}`, 'db-1')!.answer();
      await vi.advanceTimersByTimeAsync(50);
    }
    expect(gateway.getForwardedIds('db-2')).toHaveLength(8);
    expect(gateway.events).not.toContain('memberEjected');
  });
});

describe('a replica that fails five reads', () => {
  it('gets none until the ejection time is over, and then one at a time', async () => {
    await start();
    const session = await failReads(5);
    expect(gateway.findLines('memberEjected')).toMatchObject([
      { memberId: 'db-2', failureRate: 1, groupFailureRate: 0.556, runs: 5, milliseconds: 500 },
    ]);
    session.read('elsewhere');
    await settle();
    findForwarded('elsewhere', 'db-1')!.answer();
    await vi.advanceTimersByTimeAsync(500);
    session.read('trial');
    gateway.openSession().read('beside');
    await settle();
    expect([listRuns('elsewhere'), listRuns('trial'), listRuns('beside')]).toEqual([
      ['db-1'],
      ['db-2'],
      ['db-1'],
    ]);
  });

  it('is readmitted by three trial reads', async () => {
    await start();
    const session = await failReads(5);
    await vi.advanceTimersByTimeAsync(500);
    for (const id of ['trial-1', 'trial-2', 'trial-3']) {
      session.read(id);
      await settle();
      findForwarded(id, 'db-2')!.answer();
      await settle();
    }
    expect(gateway.findLines('memberReadmitted')).toMatchObject([{ cause: 'trialsCompleted' }]);
    expect(gateway.listMemberFailures()).toMatchObject([{ isEjected: false, ejections: 1 }, {}]);
  });

  it('is tried again after a trial read with an answer that cannot be processed', async () => {
    // Guards against a trial that never ends, which would keep the replica out for good.
    await start();
    const session = await failReads(5);
    await vi.advanceTimersByTimeAsync(500);
    session.read('malformed');
    await settle();
    findForwarded('malformed', 'db-2')!.answerMalformed();
    await settle();
    session.read('trial');
    await settle();
    expect(listRuns('trial')).toEqual(['db-2']);
  });

  it('gets no read-only transaction before a read has tried it', async () => {
    // Guards against a transaction that fails halfway, as its statements cannot be repeated.
    await start();
    await failReads(5);
    await vi.advanceTimersByTimeAsync(500);
    const session = gateway.openSession();
    session.begin(true);
    session.read('step');
    await settle();
    expect(listRuns('step')).toEqual(['db-1']);
  });

  it('still gets reads that no other member has room for', async () => {
    // Guards against an ejection that leaves a primary alone with more than it can run.
    await start();
    const session = await failReads(5);
    await fillPrimary();
    session.read('last-resort');
    await settle();
    expect(listRuns('last-resort')).toEqual(['db-2']);
    expect(gateway.listMemberFailures()).toMatchObject([{ lastResortReads: 1 }, {}]);
  });

  it('gets no read that has waited for it', async () => {
    // Guards against failing the whole queue of a member that is ejected.
    await start();
    await failReads(4);
    await fillPrimary();
    for (let count = 0; count < STATEMENT_LIMIT; count += 1) {
      gateway.openSession().read(`running-${count}`);
      await settle();
    }
    gateway.openSession().read('waiting');
    await settle();
    expect(listRuns('waiting')).toEqual([]);
    for (const sent of gateway.forwarded.filter(({ id }) => id === 'filler')) sent.answer();
    findForwarded('running-0', 'db-2')!.fail();
    await settle();
    expect(gateway.events).toContain('memberEjected');
    expect(listRuns('waiting')).toEqual(['db-1']);
  });

  it('is known anew after a restart', async () => {
    await start();
    await failReads(5);
    const replica = { memberId: 'db-2', address: 'db-2:1', isPrimary: false, startedAt: 2 };
    gateway.updateMembers([createDirectoryEntry(), createDirectoryEntry(replica)]);
    await vi.advanceTimersByTimeAsync(100);
    expect(gateway.listMemberFailures()).toMatchObject([{ memberId: 'db-1' }]);
  });
});
