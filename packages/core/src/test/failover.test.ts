import { describe, expect, it } from 'vitest';
import { createScenario } from './engineScenario';

describe('failover', () => {
  it('promotes the most advanced replica when the primary is down', () => {
    const scenario = createScenario();
    scenario.member('b1').isIsolatedFromGroup = true;
    const before = scenario.write();
    scenario.runUntil(() => before.outcome !== undefined);
    scenario.member('a1').state = 'down';
    scenario.member('b1').isIsolatedFromGroup = false;
    const after = scenario.write();
    scenario.runUntil(() => after.outcome !== undefined);
    expect(after.outcome?.status).toBe('done');
    expect(scenario.findPrimaries().map(({ name }) => name)).toContain('c1');
    scenario.runUntil(() => scenario.member('b1').log.length === 4);
    expect(scenario.member('b1').log.map(({ requestId }) => requestId)).toEqual([
      '',
      before.requestId,
      '',
      after.requestId,
    ]);
  });

  it('attaches a former primary as a replica after it resumes', () => {
    const scenario = createScenario();
    scenario.member('a1').state = 'frozen';
    scenario.runUntil(() => scenario.findPrimaries().length === 2);
    scenario.unfreeze('a1');
    scenario.runUntil(() => scenario.member('a1').role === 'replica');
    scenario.runUntil(() => scenario.member('a1').log.at(-1)?.term === 2);
  });

  it('replaces a primary that responds but cannot replicate', () => {
    // Guards against writes hanging until their deadline at an isolated primary.
    const scenario = createScenario();
    scenario.member('a1').isIsolatedFromGroup = true;
    const held = scenario.write();
    const after = (() => {
      scenario.runUntil(() => scenario.findPrimaries().some(({ name }) => name !== 'a1'));
      return scenario.write();
    })();
    scenario.runUntil(() => after.outcome !== undefined && held.outcome !== undefined);
    expect(after.outcome?.status).toBe('done');
    expect(held.outcome?.status).toBe('discarded');
  });

  it('does not depose a newly promoted primary that has not been discovered yet', () => {
    // Guards against counting the isolated primary towards the majority that ends the verification,
    // which fenced a primary that another instance had just promoted.
    const scenario = createScenario();
    scenario.member('a1').isIsolatedFromGroup = true;
    scenario.member('c1').lagMilliseconds = 2_000;
    scenario.write();
    scenario.runUntil(() => scenario.findRecords('primarySuspected').length > 0);
    scenario.instance().droppedMembers.add('b1');
    scenario.simulateExternalPromotion('b1', 2);
    scenario.run(350);
    scenario.instance().droppedMembers.delete('b1');
    scenario.runUntil(() => scenario.findRecords('primaryLearned').length === 2);
    expect(scenario.findRecords('fenceFailed')).toEqual([]);
    expect(scenario.findRecords('termFenced')).toEqual([]);
    expect(scenario.findPrimaries().map(({ name }) => name)).toContain('b1');
    expect(scenario.member('c1').currentTerm).toBe(2);
  });

  it('keeps the primary when only one replica lags', () => {
    const scenario = createScenario();
    scenario.member('b1').lagMilliseconds = 60_000;
    for (let count = 0; count < 20; count += 1) {
      scenario.write();
      scenario.run(200);
    }
    expect(scenario.findRecords('primarySuspected')).toEqual([]);
    expect(scenario.member('a1').currentTerm).toBe(1);
  });

  it('stops repeating failovers when every replica lags beyond the confirmation timeout', () => {
    // Guards against mistaking slow replication for an isolated primary, again after each failover.
    const scenario = createScenario();
    ['a1', 'b1', 'c1'].forEach((name) => {
      scenario.member(name).lagMilliseconds = 3_000;
    });
    const outcomes = Array.from({ length: 10 }, () => {
      const write = scenario.write({ deadlineAt: scenario.now() + 8_000 });
      scenario.runUntil(() => write.outcome !== undefined);
      return write.outcome?.status;
    });
    expect(outcomes.slice(-5)).toEqual(Array(5).fill('done'));
    expect(scenario.findRecords('primaryPromoted').length).toBeLessThanOrEqual(2);
  });

  it('keeps a primary that only this instance cannot reach', () => {
    // Guards against one broken link causing a failover while replicas still receive the log.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    scenario.instance('p1').droppedMembers.add('a1');
    for (let count = 0; count < 100; count += 1) {
      scenario.write({}, 'p2');
      scenario.run(50);
    }
    expect(scenario.findRecords('termFenced')).toEqual([]);
  });

  it('keeps the primary after a pause of the instance', () => {
    // Guards against treating requests that timed out during the pause as a failure of the primary.
    const scenario = createScenario({ slowMember: 'a1' });
    for (let round = 0; round < 20; round += 1) {
      scenario.run(115);
      scenario.pause();
      scenario.run(600 + 97 * round);
      scenario.resume();
    }
    scenario.run(2_000);
    expect(scenario.findRecords('termFenced')).toEqual([]);
    expect(scenario.findRecords('primarySuspected')).toEqual([]);
    expect(scenario.member('a1').currentTerm).toBe(1);
  });

  it('keeps the primary over a lossy link', () => {
    // Guards against treating single lost requests or responses as a failure of the primary.
    const scenario = createScenario({ lossRate: 0.05 });
    scenario.run(120_000);
    expect(scenario.findRecords('termFenced')).toEqual([]);
    expect(scenario.member('a1').currentTerm).toBe(1);
  }, 60_000);

  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'has at most one primary per term when instances promote concurrently, seed %i',
    (seed) => {
      // Guards against split brain when an instance counts a lost response, or a grant made to another
      // instance, as its own.
      const scenario = createScenario({ instances: ['p1', 'p2', 'p3'], seed, lossRate: 0.2 });
      scenario.instance('p2').droppedMembers.add('c1');
      scenario.member('a1').state = 'down';
      const writes = ['p1', 'p2', 'p3'].map((at) => scenario.write({}, at));
      const primariesByTerm = new Map<number, Set<string>>();
      for (let elapsed = 0; elapsed < 6_000; elapsed += 1) {
        scenario.run(1);
        scenario
          .findPrimaries()
          .filter(({ state }) => state === 'up')
          .forEach(({ name, currentTerm }) => {
            const names = primariesByTerm.get(currentTerm) ?? new Set();
            primariesByTerm.set(currentTerm, names.add(name));
          });
      }
      expect([...primariesByTerm.values()].filter(({ size }) => size > 1)).toEqual([]);
      expect(writes.map(({ outcome }) => outcome?.status)).not.toContain(undefined);
      const log = scenario.findPrimaries().find(({ state }) => state === 'up')?.log ?? [];
      writes
        .filter(({ outcome }) => outcome?.status === 'done')
        .forEach(({ requestId }) =>
          expect(log.map((entry) => entry.requestId)).toContain(requestId),
        );
    },
  );

  it('does not count an unanswered fence command as a grant', () => {
    // Guards against split brain: p1 fences only b1 and p2 only c1, so neither has a majority.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    scenario.instance('p1').lostFences.add('c1');
    scenario.instance('p2').lostFences.add('b1');
    scenario.member('a1').state = 'down';
    scenario.run(4_000);
    expect(scenario.findRecords('fenceFailed').length).toBeGreaterThan(0);
    expect(scenario.findRecords('primaryPromoted')).toEqual([]);
    scenario.instance('p1').lostFences.clear();
    scenario.runUntil(() => scenario.findRecords('primaryPromoted').length > 0);
  });

  it('recovers a group that was fenced but has no primary', () => {
    // Guards against a permanent outage when an instance fails between fencing and promoting.
    const scenario = createScenario();
    ['b1', 'c1'].forEach((name) => Object.assign(scenario.member(name), { currentTerm: 7 }));
    const write = scenario.write();
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('done');
    expect(scenario.member('a1').currentTerm).toBeGreaterThan(7);
  });

  it('reattaches a member that alone recorded a higher term', () => {
    // Guards against losing a replica for good after a failed failover, since terms never decrease.
    const scenario = createScenario();
    scenario.member('b1').currentTerm = 7;
    scenario.runUntil(() => scenario.member('b1').log.at(-1)?.term === 8);
    expect(scenario.member('a1').role).toBe('primary');
  });

  it('hands over from a leaving primary without aborting open transactions', () => {
    const scenario = createScenario();
    const begin = scenario.send({ access: 'transaction' });
    scenario.runUntil(() => begin.outcome !== undefined);
    scenario.changeDatabase('a1', { leaving: true });
    scenario.run(2_500);
    const commit = scenario.send({ access: 'commit', transactionId: begin.requestId });
    scenario.runUntil(() => commit.outcome !== undefined);
    scenario.handle({ type: 'transactionFinished', transactionId: begin.requestId });
    expect(commit.outcome?.status).toBe('done');
    scenario.runUntil(() => scenario.member('a1').role === 'replica');
    const after = scenario.write();
    scenario.runUntil(() => after.outcome !== undefined);
    expect(after.outcome?.status).toBe('done');
    expect(after.sentTo).not.toContain('a1');
  });
});
