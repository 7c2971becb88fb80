import { describe, expect, it } from 'vitest';
import { NO_ENTRY_PREFIX, createScenario } from './engineScenario';

describe('acknowledgement of writes', () => {
  it('acknowledges a write once a majority has stored it', () => {
    const scenario = createScenario();
    const write = scenario.write();
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toEqual({ status: 'done', position: { term: 1, index: 2 } });
    const holders = ['a1', 'b1', 'c1'].filter((name) => scenario.member(name).log.length >= 2);
    expect(holders.length).toBeGreaterThanOrEqual(2);
  });

  it('does not acknowledge a write that a replaced primary ran', () => {
    // The primary and the sending instance both freeze and miss the promotion of b1. A success that
    // the old primary reports after resuming must not be acknowledged.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    const write = scenario.write({ deadlineAt: scenario.now() + 20_000 }, 'p1');
    scenario.member('a1').state = 'frozen';
    scenario.pause('p1');
    scenario.runUntil(() => scenario.member('b1').role === 'primary');
    scenario.unfreeze('a1');
    scenario.run(10);
    expect(scenario.member('a1').receivedWriteIds).toEqual([write.requestId]);
    scenario.resume('p1');
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('discarded');
  });

  it('queries members again before answering a write that produced no log entry', () => {
    // Answers from before the write completed still report the old term, so they must not confirm a
    // result of the replaced primary.
    const scenario = createScenario();
    ['b1', 'c1'].forEach((name) => scenario.instance().droppedMembers.add(name));
    scenario.run(10);
    scenario.simulateExternalPromotion('b1', 2);
    const write = scenario.write({ requestId: NO_ENTRY_PREFIX });
    scenario.run(200);
    expect(scenario.member('a1').receivedWriteIds).toEqual([NO_ENTRY_PREFIX]);
    expect(write.outcome).toBeUndefined();
    scenario.instance().droppedMembers.clear();
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('discarded');
  });

  it('reports whether a pending write survived a change of primary', () => {
    // The primary fails with two pending writes, of which only one was replicated to b1. The log that the
    // next term starts from determines both outcomes.
    const scenario = createScenario();
    scenario.member('c1').isIsolatedFromGroup = true;
    const survivor = scenario.write();
    scenario.runUntil(() => scenario.member('b1').log.length === 2);
    scenario.member('b1').isIsolatedFromGroup = true;
    const lost = scenario.write();
    scenario.runUntil(() => scenario.member('a1').log.length === 3);
    scenario.run(3);
    expect(lost.outcome).toBeUndefined();
    scenario.member('a1').state = 'down';
    scenario.member('b1').isIsolatedFromGroup = false;
    scenario.member('c1').isIsolatedFromGroup = false;
    scenario.runUntil(() => lost.outcome !== undefined && survivor.outcome !== undefined);
    expect(survivor.outcome).toEqual({ status: 'done', position: { term: 1, index: 2 } });
    expect(lost.outcome?.status).toBe('discarded');
    expect(scenario.member('b1').log.map(({ requestId }) => requestId)).not.toContain(
      lost.requestId,
    );
  });

  it('does not report a write as discarded while it can still be recovered', () => {
    // b1 is promoted without the entry but fails before a majority has its term; a1, which has the
    // entry, is promoted again. Retrying after "discarded" would apply the write twice.
    const scenario = createScenario();
    ['a1', 'c1'].forEach((name) =>
      Object.assign(scenario.member(name), { isIsolatedFromGroup: true }),
    );
    scenario.member('b1').isIsolatedFromGroup = true;
    const write = scenario.write({ deadlineAt: scenario.now() + 10_000 });
    scenario.runUntil(() => scenario.member('a1').log.length === 2);
    scenario.simulateExternalPromotion('b1', 2);
    scenario.run(50);
    scenario.member('b1').state = 'down';
    scenario.member('a1').isIsolatedFromGroup = false;
    scenario.member('c1').isIsolatedFromGroup = false;
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'done', position: { term: 1, index: 2 } });
    expect(scenario.member('a1').log[1]?.requestId).toBe(write.requestId);
  });

  it('reports a write as unknown when its answer is lost, without sending it again', () => {
    // The connection breaks after the statement ran. Repeating a write that is not repeatable, or
    // reporting "not run", would apply it twice.
    const scenario = createScenario();
    scenario.member('a1').lostResponsesLeft = 1;
    const write = scenario.write({ isRepeatable: false });
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'unknown', reason: 'connectionLost' });
    scenario.run(2_000);
    expect(scenario.member('a1').receivedWriteIds).toEqual([write.requestId]);
  });

  it('reports a write as unknown once its frozen primary has been replaced', () => {
    // The outcome can no longer be determined, so the caller must not wait for the whole deadline.
    const scenario = createScenario();
    const write = scenario.write({ deadlineAt: scenario.now() + 60_000 });
    scenario.member('a1').state = 'frozen';
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'unknown', reason: 'primaryReplaced' });
    expect(scenario.now()).toBeLessThan(5_000);
  });

  it('acknowledges no write while two of three databases are down', () => {
    // The primary alone is no majority: a write that it ran is neither "done" nor "not run".
    const scenario = createScenario();
    scenario.member('b1').state = 'down';
    scenario.member('c1').state = 'down';
    const sent = scenario.write({ deadlineAt: scenario.now() + 1_500 });
    scenario.run(700);
    const queued = scenario.write({ deadlineAt: scenario.now() + 500 });
    scenario.run(1_000);
    expect(sent.outcome).toMatchObject({ status: 'unknown', reason: 'deadline' });
    expect(queued.outcome).toMatchObject({ status: 'notRun', reason: 'noPrimary' });
    expect(queued.sentTo).toEqual([]);
  });
});
