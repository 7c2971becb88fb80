import { describe, expect, it } from 'vitest';
import { createLimitAllocatorPlanner } from '../index';
import type { ConnectionHolderCandidate } from '../index';

/** Two large instances and others in each data centre. */
function createInstances(dataCentres: number, instancesEach: number): ConnectionHolderCandidate[] {
  return Array.from({ length: dataCentres * instancesEach }, (_, index) => {
    const dataCentre = `dc-${index % dataCentres}`;
    const number = Math.floor(index / dataCentres);
    return { instance: `${dataCentre}-${number}`, dataCentre, weight: number < 2 ? 1.35 : 0.3 };
  });
}

const planLimitAllocators = ({
  team,
  ...options
}: {
  team: string;
  candidates: ConnectionHolderCandidate[];
  dataCentre: string;
}) => createLimitAllocatorPlanner(options).plan(team);

const teams = Array.from({ length: 87 }, (_, index) => `team-${index}`);

describe('the instances that share out a limit', () => {
  it('are the same in every data centre, the near one is asked first', () => {
    // Guards against instances that divide a limit differently and together exceed it.
    const candidates = createInstances(6, 15);
    for (const team of teams) {
      const plans = ['dc-0', 'dc-4'].map((dataCentre) =>
        planLimitAllocators({ team, candidates: candidates.toReversed(), dataCentre }),
      );
      expect(plans[0]!.allocators).toEqual(plans[1]!.allocators);
      expect(plans[0]!.allocators.length).toBe(6);
      expect(plans[0]!.askedInOrder[0]).toMatch(/^dc-0/);
      expect(plans[1]!.askedInOrder[0]).toMatch(/^dc-4/);
      expect(new Set(plans[1]!.askedInOrder)).toEqual(new Set(plans[1]!.allocators));
    }
  });

  it.each([
    [1, 1, 1],
    [1, 7, 3],
    [2, 7, 4],
    [3, 20, 3],
    [12, 15, 8],
  ])('of %i data centres with %i instances are %i', (dataCentres, each, count) => {
    const candidates = createInstances(dataCentres, each);
    const plan = planLimitAllocators({ team: 'team-1', candidates, dataCentre: 'dc-0' });
    expect(plan.allocators.length).toBe(count);
  });

  it('stay in part on either side of a partition, for almost all teams', () => {
    // Guards against a side that refuses what is within a limit because no one there shares it out.
    const candidates = createInstances(6, 15);
    const isOnSmallSide = (name: string) => Number(name.split('-')[2]) % 3 === 2;
    const withoutAny = teams.filter((team) => {
      const { allocators } = planLimitAllocators({ team, candidates, dataCentre: 'dc-0' });
      return !allocators.some(isOnSmallSide);
    });
    expect(withoutAny.length).toBeLessThan(teams.length * 0.2);
  });

  it('change for few teams when an instance joins', () => {
    const before = createInstances(6, 4);
    const after = [...before, { instance: 'dc-1-new', dataCentre: 'dc-1', weight: 1 }];
    const changed = teams.filter((team) => {
      const plan = (candidates: ConnectionHolderCandidate[]) =>
        planLimitAllocators({ team, candidates, dataCentre: 'dc-0' }).allocators.join();
      return plan(before) !== plan(after);
    });
    expect(changed.length).toBeGreaterThan(0);
    expect(changed.length).toBeLessThan(teams.length * 0.4);
  });
});
