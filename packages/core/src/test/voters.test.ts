import { describe, expect, it } from 'vitest';
import { createEmptyMember, createRandom, createScenario } from './engineScenario';
import type { RequestHandle, Scenario } from './engineScenario';

const NAMES = ['a1', 'b1', 'c1'];
const INSTANCES = ['p1', 'p2'];

/** Whether all logs are equal, and name another incarnation than the one that has ended. */
function hasRecovered(scenario: Scenario, name: string, ended: string | undefined): boolean {
  const logs = NAMES.map((each) => scenario.member(each).log);
  const [first, ...others] = logs.map((log) => log.at(-1));
  if (!first || others.some((last) => last !== first)) return false;
  const named = scenario.findVoters(name).incarnations[name];
  return named !== undefined && named !== ended;
}

describe('databases that lose their logs one after the other', () => {
  it.each([1, 2, 3, 4])('take no acknowledged write along, seed %i', (seed) => {
    // Guards against counting an incarnation that the voters do not name, and against a group that stays without one.
    const random = createRandom(seed);
    const pick = <Item>(items: Item[]) => items[Math.floor(random() * items.length)] as Item;
    const scenario = createScenario({ instances: INSTANCES, seed, lossRate: 0.02 });
    const acknowledged = new Set<string>();
    let open: { handle: RequestHandle; expected: string[] }[] = [];
    let lost: { name: string; ended: string | undefined } | undefined;
    let losses = 0;

    const check = ({ handle, expected }: (typeof open)[number]): void => {
      if (handle.outcome?.status !== 'done') return;
      if (handle.requestId.startsWith('write')) acknowledged.add(handle.requestId);
      else expect(handle.visibleRequestIds).toEqual(expect.arrayContaining(expected));
    };
    const loseLog = (): void => {
      const name = pick(NAMES);
      lost = { name, ended: scenario.findVoters(name).incarnations[name] };
      losses += 1;
      Object.assign(scenario.member(name), createEmptyMember(name));
    };
    const disturb = (): void => {
      const member = scenario.member(pick(NAMES));
      const { droppedMembers } = scenario.instance(pick(INSTANCES));
      if (random() < 0.02) member.isIsolatedFromGroup = !member.isIsolatedFromGroup;
      if (random() < 0.01) member.state = member.state === 'up' ? 'down' : 'up';
      if (random() < 0.02) droppedMembers.add(member.name);
      if (random() < 0.04) droppedMembers.clear();
      if (!lost && random() < 0.03) loseLog();
      if (random() < 0.03) scenario.restart(pick(INSTANCES));
    };
    const heal = (): void => {
      NAMES.forEach((name) => {
        Object.assign(scenario.member(name), { state: 'up', isIsolatedFromGroup: false });
      });
      INSTANCES.forEach((name) => scenario.instance(name).droppedMembers.clear());
    };

    for (let step = 0; step < 1_000; step += 1) {
      disturb();
      if (random() < 0.04) heal();
      const draft = { deadlineAt: scenario.now() + 1_000 };
      const expected = [...acknowledged];
      open.push({ handle: scenario.read(draft, pick(INSTANCES)), expected });
      if (random() < 0.3) open.push({ handle: scenario.write(draft, pick(INSTANCES)), expected });
      scenario.run(10);
      open.filter(({ handle }) => handle.outcome).forEach(check);
      open = open.filter(({ handle }) => !handle.outcome);
      if (lost && hasRecovered(scenario, lost.name, lost.ended)) lost = undefined;
    }
    heal();
    const last = scenario.write({ deadlineAt: scenario.now() + 20_000 });
    scenario.runUntil(() => last.outcome?.status === 'done');
    const [primary] = scenario.findPrimaries().sort((a, b) => b.currentTerm - a.currentTerm);
    const kept = primary?.log.map(({ requestId }) => requestId);
    expect(kept).toEqual(expect.arrayContaining([...acknowledged]));
    expect(losses).toBeGreaterThan(3);
    expect(acknowledged.size).toBeGreaterThan(100);
  });

  it('do not count at an instance that never knew what they had', () => {
    // Guards against a promotion by a database that lost an acknowledged write and one that lacks it.
    const scenario = createScenario({ instances: INSTANCES });
    scenario.member('c1').isIsolatedFromGroup = true;
    const write = scenario.write({}, 'p2');
    scenario.runUntil(() => write.outcome?.status === 'done');
    scenario.pause('p2');
    Object.assign(scenario.member('b1'), createEmptyMember('b1'), { isIsolatedFromGroup: true });
    scenario.member('a1').state = 'down';
    scenario.restart('p1');
    scenario.run(3_000);
    scenario.findPrimaries().forEach(({ log }) => {
      expect(log.map(({ requestId }) => requestId)).toContain(write.requestId);
    });
    scenario.member('a1').state = 'up';
    scenario.member('c1').isIsolatedFromGroup = false;
    const next = scenario.write({ deadlineAt: scenario.now() + 20_000 }, 'p1');
    scenario.runUntil(() => next.outcome?.status === 'done');
  });

  it('leave the group to all of its members where no majority of voters is left', () => {
    // Guards against a group that waits for incarnations that have ended.
    const scenario = createScenario({ instances: INSTANCES });
    const first = scenario.write();
    scenario.runUntil(() => first.outcome?.status === 'done');
    scenario.run(50);
    ['a1', 'b1'].forEach((name) => Object.assign(scenario.member(name), createEmptyMember(name)));
    const next = scenario.write({ deadlineAt: scenario.now() + 20_000 });
    scenario.runUntil(() => next.outcome?.status === 'done');
    const kept = scenario.findPrimaries().map(({ log }) => log.map(({ requestId }) => requestId));
    expect(kept).toEqual([expect.arrayContaining([first.requestId, next.requestId])]);
  });
});
