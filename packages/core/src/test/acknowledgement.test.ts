import { describe, expect, it } from 'vitest';
import { NO_ENTRY, createScenario } from './engineScenario';

describe('acknowledgement of writes', () => {
  it('confirms a write once a majority holds it', () => {
    const scenario = createScenario();
    const write = scenario.write();
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toEqual({ status: 'done', position: { term: 1, index: 2 } });
    const holders = ['a1', 'b1', 'c1'].filter((name) => scenario.member(name).log.length >= 2);
    expect(holders.length).toBeGreaterThanOrEqual(2);
  });

  it('acknowledges nothing that a deposed primary ran', () => {
    // A technician is told that a test is logged, and the next inspector does not find it.
    // p1 sends the write and is frozen, the primary freezes before it arrives; p2 promotes b1. Then
    // the old primary thaws and runs the write, and p1 thaws and reads its success.
    // Cause: neither of them knows that the primary was replaced.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    const write = scenario.write({ deadlineAt: scenario.now() + 20_000 }, 'p1');
    scenario.member('a1').state = 'frozen';
    scenario.pause('p1');
    scenario.runUntil(() => scenario.member('b1').role === 'primary');
    scenario.thaw('a1');
    scenario.run(10);
    expect(scenario.member('a1').received).toEqual([write.requestId]);
    scenario.resume('p1');
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('discarded');
  });

  it('asks anew before it answers a write that wrote nothing', () => {
    // A defect report is answered with "no such luminaire", which was registered a second before.
    // b1 was promoted; this instance has not heard from b1 and c1 since, and the old primary finds
    // no row to change. Cause: answers from before the write completed still name the old term.
    const scenario = createScenario();
    ['b1', 'c1'].forEach((name) => scenario.instance().unreachable.add(name));
    scenario.run(10);
    scenario.promoteElsewhere('b1', 2);
    const write = scenario.write({ requestId: NO_ENTRY });
    scenario.run(200);
    expect(scenario.member('a1').received).toEqual([NO_ENTRY]);
    expect(write.outcome).toBeUndefined();
    scenario.instance().unreachable.clear();
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('discarded');
  });

  it('tells the caller of a held write whether it survived the change of primary', () => {
    // Two callers wait for their acknowledgement when the primary dies; one entry reached b1, the
    // other did not. Told "unknown" both would have to be looked up by hand; told "done" the second
    // would be lost. Cause: the entry is in the log that the next term started from, or it is not.
    const scenario = createScenario();
    scenario.member('c1').isCutFromGroup = true;
    const survivor = scenario.write();
    scenario.runUntil(() => scenario.member('b1').log.length === 2);
    scenario.member('b1').isCutFromGroup = true;
    const lost = scenario.write();
    scenario.runUntil(() => scenario.member('a1').log.length === 3);
    scenario.run(3);
    expect(lost.outcome).toBeUndefined();
    scenario.member('a1').state = 'down';
    scenario.member('b1').isCutFromGroup = false;
    scenario.member('c1').isCutFromGroup = false;
    scenario.runUntil(() => lost.outcome !== undefined && survivor.outcome !== undefined);
    expect(survivor.outcome).toEqual({ status: 'done', position: { term: 1, index: 2 } });
    expect(lost.outcome?.status).toBe('discarded');
    expect(scenario.member('b1').log.map(({ requestId }) => requestId)).not.toContain(
      lost.requestId,
    );
  });

  it('does not call a write discarded while it may still come back', () => {
    // A caller is told that its record is gone and enters it again; both are in the register.
    // b1 is promoted without the entry and dies before c1 has the log of its term; then the old
    // primary, which has the entry, is promoted again.
    // Cause: a term that no majority holds yet decides nothing about the entries of the old one.
    const scenario = createScenario();
    ['a1', 'c1'].forEach((name) => Object.assign(scenario.member(name), { isCutFromGroup: true }));
    scenario.member('b1').isCutFromGroup = true;
    const write = scenario.write({ deadlineAt: scenario.now() + 10_000 });
    scenario.runUntil(() => scenario.member('a1').log.length === 2);
    scenario.promoteElsewhere('b1', 2);
    scenario.run(50);
    scenario.member('b1').state = 'down';
    scenario.member('a1').isCutFromGroup = false;
    scenario.member('c1').isCutFromGroup = false;
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'done', position: { term: 1, index: 2 } });
    expect(scenario.member('a1').log[1]?.requestId).toBe(write.requestId);
  });

  it('answers unknown where the answer of a write was lost, and sends it once', () => {
    // A certificate number is issued twice, or an officer is told "not run" and issues it again.
    // The database runs the statement, then the connection breaks before its answer arrives.
    // Cause: a lost answer says nothing about whether the statement ran.
    const scenario = createScenario();
    scenario.member('a1').loseAnswers = 1;
    const write = scenario.write({ isRepeatable: false });
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'unknown', reason: 'connectionLost' });
    scenario.run(2_000);
    expect(scenario.member('a1').received).toEqual([write.requestId]);
  });

  it('calls a write unknown once the primary that froze with it was replaced', () => {
    // A technician stares at a spinning wheel for the whole deadline. The primary froze with the
    // write; another one serves long since. Cause: whether it ran is not known and stays so.
    const scenario = createScenario();
    const write = scenario.write({ deadlineAt: scenario.now() + 60_000 });
    scenario.member('a1').state = 'frozen';
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'unknown', reason: 'primaryReplaced' });
    expect(scenario.now()).toBeLessThan(5_000);
  });

  it('acknowledges nothing and says so while two of three databases are gone', () => {
    // An officer waits for a certificate that cannot be kept. Both replicas are dead; the primary
    // runs the write. Cause: one copy is no majority, so neither "done" nor "not run" is true.
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
