import { describe, expect, it } from 'vitest';
import { createScenario } from './engineScenario';

describe('reads', () => {
  it('prefers replicas in the same data centre for fresh reads', () => {
    const scenario = createScenario();
    const reads = Array.from({ length: 20 }, () => {
      const read = scenario.read();
      scenario.run(20);
      return read;
    });
    expect(reads.map(({ outcome }) => outcome?.status)).toEqual(Array(20).fill('done'));
    expect(new Set(reads.flatMap(({ sentTo }) => sentTo))).toEqual(new Set(['b1']));
  });

  it('does not send reads to the primary while replicas are up to date', () => {
    // Under continuous writes no replica has reached the primary's log end, so a floor taken from the
    // primary's answer would send every read to the primary.
    const scenario = createScenario();
    ['b1', 'c1'].forEach((name) => Object.assign(scenario.member(name), { lagMilliseconds: 30 }));
    scenario.run(4_000);
    const reads = Array.from({ length: 200 }, () => {
      scenario.write();
      scenario.run(5);
      return scenario.read();
    });
    scenario.runUntil(() => reads.every(({ outcome }) => outcome !== undefined));
    expect(reads.flatMap(({ sentTo }) => sentTo)).not.toContain('a1');
  });

  it('returns the own write of a roaming session through another instance without a token', () => {
    // p2 has not seen the write through p1, and its nearest replica lags far behind. Positions from
    // before the read arrived must not be used as the floor.
    const scenario = createScenario({ instances: ['p1', 'p2'], slowMember: 'a1' });
    scenario.member('b1').lagMilliseconds = 30_000;
    scenario.run(500);
    const write = scenario.write({}, 'p1');
    scenario.runUntil(() => write.outcome !== undefined);
    for (let count = 0; count < 10; count += 1) {
      const read = scenario.read({}, 'p2');
      scenario.runUntil(() => read.outcome !== undefined);
      expect(read.visibleRequestIds).toContain(write.requestId);
      expect(read.sentTo).not.toContain('b1');
    }
  });

  it('does not send a read with a token to a replica that has not applied it', () => {
    const scenario = createScenario();
    scenario.member('b1').lagMilliseconds = 30_000;
    const write = scenario.write();
    scenario.runUntil(() => write.outcome !== undefined);
    const position = write.outcome?.status === 'done' ? write.outcome.position : undefined;
    const read = scenario.read({ token: position as NonNullable<typeof position> });
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('does not send a read with a token to a member in a higher term whose log lacks the write', () => {
    // b1 was promoted without the entry, then isolated; a1, which has it, was promoted again. b1's
    // position has the higher term, so comparing positions alone is not sufficient.
    const scenario = createScenario();
    ['a1', 'b1', 'c1'].forEach((name) =>
      Object.assign(scenario.member(name), { isIsolatedFromGroup: true }),
    );
    const write = scenario.write({ deadlineAt: scenario.now() + 20_000 });
    scenario.runUntil(() => scenario.member('a1').log.length === 2);
    scenario.simulateExternalPromotion('b1', 2);
    scenario.instance().lostFences.add('b1');
    scenario.instance().lostFollows.add('b1');
    ['a1', 'c1'].forEach((name) =>
      Object.assign(scenario.member(name), { isIsolatedFromGroup: false, currentTerm: 2 }),
    );
    scenario.simulateExternalPromotion('a1', 3, ['a1', 'c1']);
    scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome).toMatchObject({ status: 'done', position: { term: 1, index: 2 } });
    const read = scenario.read({ token: { term: 1, index: 2 } });
    scenario.runUntil(() => read.outcome !== undefined);
    expect(scenario.member('b1').log.at(-1)?.term).toBe(2);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('serves stale reads from a replica until the accepted staleness is exceeded', () => {
    // A replica whose replication has stopped still answers promptly, but its data becomes too old.
    const scenario = createScenario();
    const kind = { maximumStalenessMilliseconds: 2_000 };
    scenario.member('b1').isIsolatedFromGroup = true;
    const cutAt = scenario.now();
    const served: { age: number; sentTo: string[] }[] = [];
    for (let count = 0; count < 40; count += 1) {
      scenario.write();
      const read = scenario.read(kind);
      scenario.run(100);
      served.push({ age: scenario.now() - 100 - cutAt, sentTo: read.sentTo });
    }
    const byLagging = served.filter(({ sentTo }) => sentTo.includes('b1'));
    expect(byLagging.length).toBeGreaterThan(10);
    expect(byLagging.filter(({ age }) => age > 2_000)).toEqual([]);
    expect(served.every(({ sentTo }) => sentTo.length > 0)).toBe(true);
  });

  it('bounds the staleness of a replica that has lagged far behind for a long time', () => {
    // Samples must cover the accepted staleness: losing old ones would disqualify a replica that lags
    // by 40 s, although the read accepts 45 s.
    const scenario = createScenario();
    scenario.member('b1').lagMilliseconds = 40_000;
    const writes: { at: number; requestId: string }[] = [];
    for (let count = 0; count < 2_300; count += 1) {
      const { requestId } = scenario.write();
      scenario.run(25);
      writes.push({ at: scenario.now(), requestId });
    }
    const accepting = scenario.read({ maximumStalenessMilliseconds: 45_000 });
    const stricter = scenario.read({ maximumStalenessMilliseconds: 20_000 });
    const askedAt = scenario.now();
    scenario.runUntil(() => accepting.outcome !== undefined && stricter.outcome !== undefined);
    expect(accepting.sentTo).toEqual(['b1']);
    expect(stricter.sentTo).toEqual(['c1']);
    const requiredWrite = writes.filter(({ at }) => at < askedAt - 45_000).at(-1);
    expect(accepting.visibleRequestIds).toContain(requiredWrite?.requestId);
  }, 60_000);

  it('bounds the staleness across a suspension of the machine', () => {
    // Guards against ages by a clock that stands still while the machine is suspended.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    scenario.run(1_000);
    Object.assign(scenario.member('b1'), { isIsolatedFromGroup: true });
    const write = scenario.write({}, 'p2');
    scenario.runUntil(() => write.outcome !== undefined);
    scenario.suspend(5_000, 'p1');
    const read = scenario.read({ maximumStalenessMilliseconds: 2_000 }, 'p1');
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it.each([
    { name: 'short suspensions that add up', suspensions: 30, milliseconds: 90, wallStep: 0 },
    { name: 'one that a step back hides', suspensions: 1, milliseconds: 5_000, wallStep: -8_000 },
  ])('bounds the staleness across $name', ({ suspensions, milliseconds, wallStep }) => {
    const policy = { idleProbeIntervalMilliseconds: 100 };
    const scenario = createScenario({ instances: ['p1', 'p2'], policy });
    scenario.run(1_000);
    Object.assign(scenario.member('b1'), { isIsolatedFromGroup: true });
    const write = scenario.write({}, 'p2');
    scenario.runUntil(() => write.outcome !== undefined);
    Object.assign(scenario.instance('p1'), { wallStep });
    for (let count = 0; count < suspensions; count += 1) {
      scenario.suspend(milliseconds, 'p1');
      scenario.run(5);
    }
    const read = scenario.read({ maximumStalenessMilliseconds: 2_000 }, 'p1');
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('serves a read of a stated age at once after a step of the time of day forward', () => {
    // Guards against waits and limits by a clock that can be stepped.
    const scenario = createScenario();
    scenario.run(1_000);
    Object.assign(scenario.instance('p1'), { wallStep: 3_600_000 });
    const read = scenario.read({ maximumStalenessMilliseconds: 2_000 });
    expect(scenario.runUntil(() => read.outcome !== undefined)).toBeLessThan(20);
    expect(read.outcome?.status).toBe('done');
    scenario.run(1_000);
    expect(scenario.findRecords('primarySuspected')).toEqual([]);
  });

  it('serves only stale reads while two databases are down', () => {
    const scenario = createScenario();
    scenario.run(200);
    scenario.member('a1').state = 'down';
    scenario.member('c1').state = 'down';
    scenario.run(500);
    const aged = scenario.read({ maximumStalenessMilliseconds: 10_000 });
    const fresh = scenario.read({ deadlineAt: scenario.now() + 300 });
    scenario.run(400);
    expect(aged.outcome?.status).toBe('done');
    expect(fresh.outcome).toMatchObject({ status: 'notRun', reason: 'noFreshMember' });
  });

  it('repeats a read on another member when its answer is lost', () => {
    const scenario = createScenario();
    scenario.member('b1').lostResponsesLeft = 1;
    const read = scenario.read();
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.outcome?.status).toBe('done');
    expect(read.sentTo).toEqual(['b1', 'c1']);
  });

  it('moves a read from a frozen replica to another member', () => {
    // The connection to a frozen replica stays open and reports no error, so the read must not wait for
    // its deadline.
    const scenario = createScenario();
    const read = scenario.read({ deadlineAt: scenario.now() + 10_000 });
    scenario.runUntil(() => read.sentTo.length === 1);
    scenario.member('b1').state = 'frozen';
    const waited = scenario.runUntil(() => read.outcome !== undefined);
    expect(read.outcome?.status).toBe('done');
    expect(read.sentTo).toEqual(['b1', 'c1']);
    expect(waited).toBeLessThan(2_000);
  });

  it('does not move a slow read again after its second attempt', () => {
    // A database that is busy with a long read looks like a frozen one. Moving the read every time
    // would keep it from ever completing.
    const scenario = createScenario();
    const read = scenario.read({ deadlineAt: scenario.now() + 10_000 });
    scenario.runUntil(() => read.sentTo.length === 1);
    scenario.member('b1').state = 'frozen';
    scenario.runUntil(() => read.sentTo.length === 2);
    const [, second] = read.sentTo as [string, string];
    scenario.member(second).state = 'frozen';
    scenario.run(2_000);
    scenario.unfreeze(second);
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.outcome?.status).toBe('done');
    expect(read.sentTo).toEqual(['b1', second]);
  });
});
