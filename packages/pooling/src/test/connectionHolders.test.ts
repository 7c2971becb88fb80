import { describe, expect, it } from 'vitest';
import { planConnectionHolders } from '../index';
import type { ConnectionHolderCandidate, ConnectionHolderPlan } from '../index';

const DATA_CENTRES = ['north', 'south', 'west'];

/** `count` instances in each of three data centres, the first one of each four times as large. */
function createCandidates(count: number): ConnectionHolderCandidate[] {
  return DATA_CENTRES.flatMap((dataCentre) =>
    Array.from({ length: count }, (_, index) => ({
      instance: `${dataCentre}-${index}`,
      dataCentre,
      weight: index === 0 ? 4 : 1,
    })),
  );
}

function plan(options: {
  count: number;
  maximumConnections: number;
  dataCentre?: string;
  group?: string;
}): ConnectionHolderPlan {
  const { count, maximumConnections, dataCentre = 'north', group = 'group-1' } = options;
  return planConnectionHolders({
    group,
    candidates: createCandidates(count),
    dataCentre,
    maximumConnections,
  });
}

function getNearHolders(holderPlan: ConnectionHolderPlan): string[] {
  return holderPlan.type === 'everyone' ? [] : holderPlan.near.slice(0, holderPlan.nearCount);
}

describe('planning connection holders', () => {
  it('lets every instance connect if there are enough connections', () => {
    expect(plan({ count: 2, maximumConnections: 12 })).toEqual({ type: 'everyone' });
    expect(plan({ count: 2, maximumConnections: 11 }).type).toBe('holders');
  });

  it.each([
    [70, 2],
    [33, 1],
    [3, 1],
  ])('plans for %i connections and %i holders per data centre', (maximumConnections, expected) => {
    expect(plan({ count: 20, maximumConnections })).toMatchObject({ nearCount: expected });
  });

  it('plans the same holders in all data centres', () => {
    const plans = DATA_CENTRES.map((dataCentre) =>
      plan({ count: 20, maximumConnections: 60, dataCentre }),
    );
    const near = plans.flatMap(getNearHolders);
    for (const holderPlan of plans) {
      const far = holderPlan.type === 'holders' ? holderPlan.far : [];
      expect([...getNearHolders(holderPlan), ...far].sort()).toEqual([...near].sort());
    }
  });

  it('prefers instances with more processor capacity', () => {
    const groups = Array.from({ length: 100 }, (_, index) => `group-${index}`);
    const holders = groups.flatMap((group) =>
      getNearHolders(plan({ count: 5, maximumConnections: 29, group })),
    );
    const large = holders.filter((instance) => instance === 'north-0').length;
    expect(large / holders.length).toBeGreaterThan(0.35);
    expect(large / holders.length).toBeLessThan(0.65);
  });

  it('lets few instances hold the connections of all groups, however many instances run', () => {
    // Guards against calls to the store that grow with the number of instances: each instance that
    // holds connections of any group follows the directory closely.
    const groups = Array.from({ length: 60 }, (_, index) => `group-${index}`);
    const countHolding = (count: number) =>
      new Set(
        groups.flatMap((group) => getNearHolders(plan({ count, maximumConnections: 40, group }))),
      ).size;
    expect([16, 32, 64].map(countHolding)).toEqual([4, 6, 14]);
  });

  it('leaves three instances to each data centre when one that holds connections is lost', () => {
    // Guards against a data centre whose groups are all held by one large instance.
    const groups = Array.from({ length: 100 }, (_, index) => `group-${index}`);
    const plans = groups.map((group) => plan({ count: 20, maximumConnections: 29, group }));
    const first = plans.flatMap(getNearHolders);
    expect(new Set(first).size).toBeGreaterThanOrEqual(4);
    const next = plans.flatMap((holderPlan) =>
      holderPlan.type === 'holders' ? holderPlan.near.slice(1, 2) : [],
    );
    expect(new Set(next)).toEqual(new Set(first));
  });
});
