import { orderByRendezvous } from '@wisterialift/core';
import { groupByDataCentre, sortByCapacity } from './holdingInstances';
import type { ConnectionHolderCandidate } from './holdingInstances';

/** Which instances share out the rate limit of a team. @public */
export interface LimitAllocatorPlan {
  /** All allocators; each grants an equal share of the limit. */
  allocators: string[];
  /** Those of the data centre. */
  near: string[];
  /** Those that an instance of the data centre asks, in this order. */
  askedInOrder: string[];
}

/** With fewer, the loss of one would leave too small a part of the limit. */
const MINIMUM_ALLOCATORS = 3;

/**
 * Instances of a data centre that share out the limits of all teams. With fewer, one side of a partition
 * could be left without any; with more, each instance would need links to more of them.
 */
const MAXIMUM_CANDIDATES = 8;

/** With more, the shares would be too small for whole operations of a small team. */
const MAXIMUM_DATA_CENTRES = 8;

/** Plans by one list of instances. @public */
export interface LimitAllocatorPlanner {
  plan: (team: string) => LimitAllocatorPlan;
}

/**
 * Creates a planner of the instances that share out the limit of each team: some of each data centre, so
 * that callers rarely wait for another data centre, and few enough that each share is of use.
 *
 * Instances with the same list of candidates make the same plans without communicating.
 *
 * @public
 */
export function createLimitAllocatorPlanner(options: {
  candidates: readonly ConnectionHolderCandidate[];
  dataCentre: string;
}): LimitAllocatorPlanner {
  const { candidates, dataCentre } = options;
  const largestByDataCentre = new Map(
    [...groupByDataCentre(candidates)].map(([name, local]) => [name, selectLargest(local)]),
  );
  const plans = new Map<string, LimitAllocatorPlan>();

  function createPlan(team: string): LimitAllocatorPlan {
    const names = orderByRendezvous({ key: team, names: [...largestByDataCentre.keys()] });
    const chosen = names.slice(0, MAXIMUM_DATA_CENTRES);
    const count = Math.ceil(MINIMUM_ALLOCATORS / Math.max(1, chosen.length));
    const allocatorsOf = (name: string) =>
      orderByRendezvous({ key: team, names: largestByDataCentre.get(name)! }).slice(0, count);
    const near = chosen.includes(dataCentre) ? allocatorsOf(dataCentre) : [];
    const remoteNames = chosen.filter((name) => name !== dataCentre);
    const remote = orderByRendezvous({ key: `${team}/${dataCentre}`, names: remoteNames });
    return {
      allocators: chosen.toSorted().flatMap(allocatorsOf),
      near,
      askedInOrder: [...near, ...remote.flatMap(allocatorsOf)],
    };
  }

  return {
    plan: (team) => {
      const known = plans.get(team);
      if (known) return known;
      const plan = createPlan(team);
      plans.set(team, plan);
      return plan;
    },
  };
}

function selectLargest(candidates: readonly ConnectionHolderCandidate[]): string[] {
  const largest = sortByCapacity(candidates).slice(0, MAXIMUM_CANDIDATES);
  return largest.map(({ instance }) => instance);
}
