import { describe, expect, it } from 'vitest';
import { createScenario, createDatabase } from './engineScenario';

describe('requests', () => {
  it('rejects a request at its deadline if it was never sent', () => {
    // Guards against a read staying queued past its deadline when no member is fresh enough.
    const scenario = createScenario();
    const token = { term: 9, index: 1 };
    const read = scenario.read({ token, deadlineAt: scenario.now() + 300 });
    const waited = scenario.runUntil(() => read.outcome !== undefined);
    expect(waited).toBeLessThanOrEqual(301);
    expect(read.outcome).toMatchObject({ status: 'notRun', reason: 'noFreshMember' });
    expect(read.sentTo).toEqual([]);
  });

  it('rejects requests immediately when the queue is full', () => {
    const scenario = createScenario({ policy: { queueLength: 3 } });
    scenario.member('a1').state = 'frozen';
    scenario.run(450);
    const writes = Array.from({ length: 5 }, () => scenario.write());
    const refused = writes.filter(({ outcome }) => outcome?.status === 'notRun');
    expect(refused.map(({ outcome }) => outcome)).toEqual(
      Array(2).fill({
        status: 'notRun',
        reason: 'noPrimary',
        retryAfterMilliseconds: expect.any(Number) as number,
      }),
    );
  });

  it('releases the capacity of a cancelled statement', () => {
    // Guards against a capacity leak when callers cancel statements at a frozen member.
    const scenario = createScenario();
    scenario.run(4_000);
    ['b1', 'c1', 'a1'].forEach((name) => Object.assign(scenario.member(name), { state: 'frozen' }));
    const reads = Array.from({ length: 4 }, () => scenario.read({ token: { term: 1, index: 1 } }));
    scenario.run(10);
    expect(scenario.instance().engine.view(scenario.now()).running).toBe(4);
    reads.forEach(({ requestId }) => scenario.handle({ type: 'requestCancelled', requestId }));
    expect(scenario.instance().engine.view(scenario.now()).running).toBe(0);
  });

  it('keeps the connection of a transaction until it is finished', () => {
    // One connection for statements: the other is reserved, and new instances use only one.
    const scenario = createScenario({ databases: { a1: { connectionLimit: 2 } } });
    const begin = scenario.send({ access: 'transaction' });
    scenario.runUntil(() => begin.outcome !== undefined);
    const write = scenario.write();
    scenario.run(500);
    expect(write.sentTo).toEqual([]);
    scenario.handle({ type: 'transactionFinished', transactionId: begin.requestId });
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('done');
  });

  it('releases capacity at a database that was removed while statements ran', () => {
    // Guards against a capacity leak when statements finish while their database is not configured.
    const scenario = createScenario();
    const writes = [scenario.write(), scenario.write()];
    scenario.runUntil(() => writes[0]?.sentTo.length === 1);
    scenario.changeDatabases((databases) => databases.filter(({ name }) => name !== 'a1'));
    scenario.run(100);
    scenario.changeDatabases((databases) => [createDatabase('a1'), ...databases]);
    scenario.run(100);
    expect(scenario.instance().engine.view(scenario.now()).running).toBe(0);
    const after = scenario.write();
    scenario.runUntil(() => after.outcome !== undefined);
    expect(after.outcome?.status).toBe('done');
  });

  it('starts no failover while draining', () => {
    const scenario = createScenario();
    scenario.handle({ type: 'drainStarted' });
    scenario.member('a1').state = 'down';
    scenario.run(3_000);
    expect(scenario.findRecords('termFenced')).toEqual([]);
  });

  it('sends no reads to a leaving replica', () => {
    const scenario = createScenario();
    scenario.changeDatabase('b1', { leaving: true });
    const reads = Array.from({ length: 10 }, () => scenario.read());
    scenario.runUntil(() => reads.every(({ outcome }) => outcome !== undefined));
    expect(reads.flatMap(({ sentTo }) => sentTo)).not.toContain('b1');
  });

  it('returns a view of its state', () => {
    const scenario = createScenario();
    scenario.run(4_000);
    const view = scenario.instance().engine.view(scenario.now());
    const members = view.members.map(({ silentMilliseconds, ...member }) => ({
      ...member,
      // Idle members are probed every 1 s, plus or minus 25 %.
      isSilent: silentMilliseconds === undefined || silentMilliseconds > 1_300,
    }));
    expect({ ...view, members }).toMatchSnapshot();
  });
});
