import { describe, expect, it } from 'vitest';
import { createScenario } from './engineScenario';

/**
 * Partitions the primary, and the instance `p2` with it, from the other members and from `p1`, which
 * promotes another one.
 */
function createPartition() {
  const scenario = createScenario({ instances: ['p1', 'p2'] });
  scenario.run(1_000);
  scenario.member('a1').isIsolatedFromGroup = true;
  scenario.instance('p1').droppedMembers.add('a1');
  ['b1', 'c1'].forEach((name) => scenario.instance('p2').droppedMembers.add(name));
  return scenario;
}

describe('a session that has written through another instance than that of its transaction', () => {
  it.each([true, false])('begins at no former primary (with a token: %s)', (hasToken) => {
    // Guards against a transaction that reads what its session has overwritten at the new primary.
    const scenario = createPartition();
    const write = scenario.write({ deadlineAt: scenario.now() + 5_000 }, 'p1');
    scenario.runUntil(() => write.outcome !== undefined);
    const position = write.outcome?.status === 'done' ? write.outcome.position : undefined;
    expect(position?.term).toBeGreaterThan(1);
    const token = hasToken ? position : undefined;
    const begin = scenario.send({ access: 'transaction', token }, 'p2');
    scenario.runUntil(() => begin.outcome !== undefined);
    expect(begin.sentTo).toEqual([]);
    expect(begin.outcome).toMatchObject({ status: 'notRun', reason: 'noPrimary' });
  });
});
