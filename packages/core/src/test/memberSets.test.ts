import type { Position } from '@wisterialift/schema';
import { describe, expect, it } from 'vitest';
import { createEmptyMember, createScenario } from './engineScenario';
import type { RequestHandle, Scenario } from './engineScenario';

const SPARE_MEMBERS = ['d1', 'e1'];
const ALL_MEMBERS = ['a1', 'b1', 'c1', 'd1', 'e1'];

function isolate(scenario: Scenario, names: string[], isIsolatedFromGroup: boolean): void {
  names.forEach((name) => Object.assign(scenario.member(name), { isIsolatedFromGroup }));
}

function isCaughtUp(scenario: Scenario, names: string[]): boolean {
  const [first, ...others] = names.map((name) => scenario.member(name).log.length);
  return others.every((length) => length === first);
}

/** Applies two changes of members that `p1` does not hear of; each is in force before the next. */
function addTwoMembersWithout(scenario: Scenario): void {
  const options = { inForceAt: ['p2'] };
  for (const count of [4, 5]) {
    scenario.runUntil(() => scenario.changeMembers(ALL_MEMBERS.slice(0, count), options));
    scenario.runUntil(() => isCaughtUp(scenario, ALL_MEMBERS.slice(0, count)));
    scenario.run(3_000);
  }
}

function runUntilNextPromotion(scenario: Scenario, instance: string): void {
  const count = () => scenario.findRecords('primaryPromoted', instance).length;
  const before = count();
  scenario.runUntil(() => count() > before);
}

describe('changes of the members of a group', () => {
  it('do not let an instance with an old list acknowledge a write that a promotion loses', () => {
    // Guards against majorities of {a,b,c} and of {a,b,c,d,e} that share no member.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    addTwoMembersWithout(scenario);
    isolate(scenario, ['c1', 'd1', 'e1'], true);
    const write = scenario.write({ deadlineAt: scenario.now() + 1_000 }, 'p1');
    scenario.run(300);
    scenario.member('a1').state = 'down';
    scenario.member('b1').state = 'down';
    isolate(scenario, ['c1', 'd1', 'e1'], false);
    const next = scenario.write({ deadlineAt: scenario.now() + 20_000 }, 'p2');
    scenario.runUntil(() => next.outcome !== undefined && write.outcome !== undefined);
    expect(next.outcome?.status).toBe('done');
    const kept = scenario.member('c1').log.map(({ requestId }) => requestId);
    if (write.outcome?.status === 'done') expect(kept).toContain(write.requestId);
  });

  it('do not let a read miss a write that an instance with an old list acknowledged', () => {
    // Guards against a floor from {c,d,e} for a write that {a,b} confirmed.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    addTwoMembersWithout(scenario);
    ['a1', 'b1'].forEach((name) => scenario.instance('p2').droppedMembers.add(name));
    isolate(scenario, ['c1', 'd1', 'e1'], true);
    const write = scenario.write({ deadlineAt: scenario.now() + 1_000 }, 'p1');
    scenario.run(50);
    const isAcknowledged = write.outcome?.status === 'done';
    const read = scenario.read({ deadlineAt: scenario.now() + 300 }, 'p2');
    scenario.run(400);
    if (isAcknowledged && read.outcome?.status === 'done') {
      expect(read.visibleRequestIds).toContain(write.requestId);
    }
  });

  it('do not let an instance with an old list read past a write of the new members', () => {
    // Guards against a floor from {a,b} for a write that {c,d,e} confirmed.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    addTwoMembersWithout(scenario);
    isolate(scenario, ['a1', 'b1'], true);
    scenario.instance('p1').droppedMembers.add('c1');
    ['a1', 'b1'].forEach((name) => scenario.instance('p2').droppedMembers.add(name));
    runUntilNextPromotion(scenario, 'p2');
    const write = scenario.write({ deadlineAt: scenario.now() + 20_000 }, 'p2');
    scenario.runUntil(() => write.outcome?.status === 'done');
    const read = scenario.read({ deadlineAt: scenario.now() + 300 }, 'p1');
    scenario.run(400);
    if (read.outcome?.status === 'done') {
      expect(read.visibleRequestIds).toContain(write.requestId);
    }
  });

  it('do not let an old list vouch for the age of a read', () => {
    // Guards against freshness by {a,b} of a member that lacks what {c,d,e} confirmed long before.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    addTwoMembersWithout(scenario);
    isolate(scenario, ['a1', 'b1'], true);
    scenario.instance('p1').droppedMembers.add('c1');
    ['a1', 'b1'].forEach((name) => scenario.instance('p2').droppedMembers.add(name));
    runUntilNextPromotion(scenario, 'p2');
    const write = scenario.write({ deadlineAt: scenario.now() + 20_000 }, 'p2');
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.run(2_000);
    const deadlineAt = scenario.now() + 300;
    const read = scenario.read({ maximumStalenessMilliseconds: 1_000, deadlineAt }, 'p1');
    scenario.run(400);
    if (read.outcome?.status === 'done') {
      expect(read.visibleRequestIds).toContain(write.requestId);
    }
  });

  it('do not let an old list confirm a write that ran in a term of the new one', () => {
    // Guards against a write that was sent before the instance saw the term of the new list.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    scenario.changeMembers(['a1', 'b1', 'c1', 'd1'], { inForceAt: ['p2'] });
    scenario.read({}, 'p1');
    const getPhase = () => scenario.instance('p2').engine.view(scenario.now()).phase;
    scenario.runUntil(() => getPhase() === 'looking');
    ALL_MEMBERS.forEach((name) => scenario.instance('p1').droppedMembers.add(name));
    scenario.runUntil(() => scenario.findRecords('primaryPromoted', 'p2').length > 0);
    const write = scenario.write({}, 'p1');
    scenario.run(50);
    expect(scenario.member('a1').receivedWriteIds).toContain(write.requestId);
    scenario.instance('p1').droppedMembers.clear();
    scenario.run(300);
    expect(write.outcome).toBeUndefined();
    scenario.putInForce('p1');
    scenario.runUntil(() => write.outcome?.status === 'done', 200);
  });

  it('keep an instance with an old list from replacing a primary', () => {
    // Guards against a fence by a majority of the old list at a term of the new one.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    addTwoMembersWithout(scenario);
    scenario.pause('p2');
    scenario.member('a1').state = 'down';
    scenario.run(3_000);
    expect(scenario.findRecords('primarySuspected', 'p1')).toEqual([]);
    expect(scenario.findRecords('termFenced', 'p1')).toEqual([]);
  });

  it('keep an instance from fencing once it sees a term of a later list', () => {
    // Guards against a suspicion that outlives the list of members that it was formed with.
    const scenario = createScenario({ spareMembers: SPARE_MEMBERS });
    scenario.runUntil(() => scenario.changeMembers(ALL_MEMBERS.slice(0, 4)));
    scenario.runUntil(() => scenario.changeMembers(ALL_MEMBERS));
    scenario.run(3_000);
    scenario.member('a1').state = 'down';
    const isSuspected = () => scenario.findRecords('primarySuspected').length > 2;
    scenario.runUntil(isSuspected);
    const laterTerm = 300_000_001;
    Object.assign(scenario.member('e1'), { currentTerm: laterTerm, following: undefined });
    scenario.run(1_000);
    expect(scenario.member('c1').currentTerm).toBeLessThan(laterTerm);
  });

  it('are refused until the last one is in force at a majority', () => {
    // Guards against a second change while only the first list's members hold the acknowledged writes.
    const scenario = createScenario({ spareMembers: SPARE_MEMBERS });
    isolate(scenario, ['c1'], true);
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    isolate(scenario, ['d1'], true);
    scenario.changeMembers(['a1', 'b1', 'c1', 'd1']);
    scenario.run(3_000);
    scenario.changeMembers(['a1', 'c1', 'd1']);
    scenario.run(100);
    scenario.member('a1').state = 'down';
    isolate(scenario, ['c1', 'd1'], false);
    scenario.run(5_000);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
  });

  it('do not let a fence of the former members count towards the new majority', () => {
    // Guards against promoting by {c,d}, which is a majority neither of {a,b,c,d} nor of {a,b,c}.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: ['d1'] });
    scenario.runUntil(() => scenario.changeMembers(['a1', 'b1', 'c1', 'd1']));
    scenario.run(3_000);
    isolate(scenario, ['c1', 'd1'], true);
    ['a1', 'b1'].forEach((name) => scenario.instance('p1').lostFences.add(name));
    ['a1', 'b1', 'c1', 'd1'].forEach((name) => scenario.instance('p2').lostFences.add(name));
    scenario.instance('p1').droppedMembers.add('a1');
    scenario.runUntil(() => scenario.member('d1').following === undefined);
    const members = ['a1', 'b1', 'c1'];
    expect(scenario.changeMembers(members, { inForceAt: ['p2'] })).toBe(true);
    const write = scenario.write({}, 'p2');
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.putInForce('p1');
    scenario.run(50);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
  });

  it('reset what is known of a database that restarts without its log', () => {
    // Guards against a stale read that trusts the freshness of the database's former log.
    const scenario = createScenario();
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.run(3_000);
    Object.assign(scenario.member('b1'), createEmptyMember('b1'), { isIsolatedFromGroup: true });
    scenario.run(300);
    const read = scenario.read({ maximumStalenessMilliseconds: 2_000 });
    scenario.run(300);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('reset what is known of a database once its restart without a log is seen', () => {
    // Guards against a stale read that trusts the freshness of the database's former log.
    const scenario = createScenario();
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    Object.assign(scenario.member('b1'), createEmptyMember('b1'), { isIsolatedFromGroup: true });
    scenario.run(300);
    const read = scenario.read({ maximumStalenessMilliseconds: 2_000 });
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('reset what is known of a database that moves to another address', () => {
    // Guards against a stale read that trusts the freshness of the database at the former address.
    const scenario = createScenario();
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    isolate(scenario, ['b1'], true);
    scenario.member('b1').log.splice(1);
    scenario.changeDatabase('b1', { port: 3307 });
    const read = scenario.read({ maximumStalenessMilliseconds: 2_000 });
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('do not count a database that restarts without its log before it has the group’s log', () => {
    // Guards against a promotion by a member that lost an acknowledged write and one that lacks it.
    const scenario = createScenario();
    isolate(scenario, ['c1'], true);
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    Object.assign(scenario.member('b1'), createEmptyMember('b1'), { isIsolatedFromGroup: true });
    scenario.run(300);
    scenario.member('a1').state = 'down';
    scenario.run(3_000);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
  });

  it('count a database that lost its log again once it has caught up', () => {
    // Guards against reads and writes that stay refused although the log was copied back.
    const scenario = createScenario();
    const first = scenario.write();
    scenario.runUntil(() => first.outcome?.status === 'done');
    Object.assign(scenario.member('b1'), createEmptyMember('b1'));
    scenario.run(300);
    scenario.member('c1').state = 'down';
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done', 1_000);
    const read = scenario.read({}, 'p1');
    scenario.runUntil(() => read.outcome?.status === 'done', 1_000);
    expect(read.visibleRequestIds).toContain(write.requestId);
  });

  it('do not count a database that lost its log and has copied a part of it', () => {
    // Guards against a promotion by a member that an instance did not see empty.
    const scenario = createScenario();
    isolate(scenario, ['c1'], true);
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.member('b1').log.splice(1);
    isolate(scenario, ['b1'], true);
    scenario.run(300);
    scenario.member('a1').state = 'down';
    scenario.run(3_000);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
  });

  it('do not count a database that lost the newest entry that it confirmed', () => {
    // Guards against status answers that cross, of which the one that confirms is not compared.
    const losses = Array.from({ length: 20 }, (_, index) => index + 1).filter((seed) => {
      const scenario = createScenario({ seed });
      isolate(scenario, ['c1'], true);
      for (let count = 0; count < 4; count += 1) {
        scenario.write();
        scenario.run(1);
      }
      const write = scenario.write();
      scenario.runUntil(() => write.outcome?.status === 'done');
      scenario.member('b1').log.pop();
      isolate(scenario, ['b1'], true);
      scenario.run(300);
      scenario.member('a1').state = 'down';
      scenario.run(3_000);
      return scenario
        .findPrimaries()
        .some(({ log }) => log.every(({ requestId }) => requestId !== write.requestId));
    });
    expect(losses).toEqual([]);
  });

  it('do not count a database that lost entries and was fenced before it answered again', () => {
    // Guards against a loss that a fence of another instance hides from one that saw the entries.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    isolate(scenario, ['c1'], true);
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.run(1_000);
    scenario.pause('p2');
    scenario.member('b1').log.splice(1);
    Object.assign(scenario.member('b1'), { currentTerm: 2, following: undefined });
    isolate(scenario, ['b1'], true);
    scenario.run(300);
    scenario.member('a1').state = 'down';
    scenario.run(3_000);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
  });

  it('do not let databases that lost their logs vouch for reads while the primary has its own', () => {
    // Guards against a floor by a majority without a log although the rest of the group answers.
    const scenario = createScenario();
    const write = scenario.write();
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.run(1_000);
    ['b1', 'c1'].forEach((name) => {
      Object.assign(scenario.member(name), createEmptyMember(name), { isIsolatedFromGroup: true });
    });
    scenario.run(1_500);
    const reads = [0, 1_000].map((maximumStalenessMilliseconds) =>
      scenario.read({ maximumStalenessMilliseconds, deadlineAt: scenario.now() + 1_000 }),
    );
    scenario.run(1_500);
    reads
      .filter(({ outcome }) => outcome?.status === 'done')
      .forEach(({ visibleRequestIds }) => expect(visibleRequestIds).toContain(write.requestId));
  });

  it('do not count a database that lost what another instance saw', () => {
    // Guards against a promotion by an instance that cannot tell the database from a lagging one.
    const scenario = createScenario({ instances: ['p1', 'p2'] });
    scenario.instance('p1').droppedMembers.add('b1');
    isolate(scenario, ['c1'], true);
    const write = scenario.write({}, 'p2');
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.pause('p2');
    scenario.member('b1').log.splice(1);
    isolate(scenario, ['b1'], true);
    scenario.instance('p1').droppedMembers.clear();
    scenario.member('a1').state = 'down';
    scenario.run(3_000);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
  });

  it('keep an instance with an old list from running what it could not prove, until it hears', () => {
    // Guards against writes that run and end as unknown, and against refusals that last.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    scenario.changeMembers(['a1', 'b1', 'c1', 'd1'], { inForceAt: ['p2'] });
    const before = scenario.write({}, 'p1');
    scenario.runUntil(() => before.outcome?.status === 'done', 100);
    scenario.runUntil(() => scenario.findRecords('primaryPromoted', 'p2').length > 0);
    scenario.run(200);
    const deadlineAt = scenario.now() + 300;
    const [write, read] = [
      scenario.write({ deadlineAt }, 'p1'),
      scenario.read({ deadlineAt }, 'p1'),
    ];
    const { position } = before.outcome as { position: Position };
    const own = scenario.read({ token: position, deadlineAt }, 'p1');
    scenario.run(300);
    expect(write.outcome).toMatchObject({ status: 'notRun', reason: 'noPrimary' });
    expect(read.outcome).toMatchObject({ status: 'notRun', reason: 'noFreshMember' });
    expect(own.visibleRequestIds).toContain(before.requestId);
    scenario.putInForce('p1');
    const [later, laterRead] = [scenario.write({}, 'p1'), scenario.read({}, 'p1')];
    scenario.runUntil(() => later.outcome?.status === 'done', 100);
    scenario.runUntil(() => laterRead.outcome?.status === 'done', 100);
  });

  it('hold writes back for less than a second and refuse none', () => {
    // Guards against a change of term for new members that costs more than a planned handover.
    const scenario = createScenario({ instances: ['p1', 'p2'], spareMembers: SPARE_MEMBERS });
    scenario.changeMembers(['a1', 'b1', 'c1', 'd1']);
    const writes: RequestHandle[] = [];
    let longestWait = 0;
    for (let sentAt = scenario.now(); scenario.now() < sentAt + 3_000;) {
      const [write, startedAt] = [scenario.write({}, 'p1'), scenario.now()];
      scenario.runUntil(() => write.outcome !== undefined);
      longestWait = Math.max(longestWait, scenario.now() - startedAt);
      writes.push(write);
    }
    expect(new Set(writes.map(({ outcome }) => outcome?.status))).toEqual(new Set(['done']));
    expect(longestWait).toBeLessThan(1_000);
    const { memberSet, establishedMemberSet } = scenario.instance().engine.view(scenario.now());
    expect(establishedMemberSet).toBe(memberSet);
    expect(scenario.findPrimaries().map(({ name }) => name)).toEqual(['a1']);
    expect(scenario.findRecords('primaryPromoted')).toHaveLength(1);
    expect(scenario.findRecords('requestRetried')).toEqual([]);
  });
});
