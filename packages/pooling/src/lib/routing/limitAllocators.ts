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

/**
 * Plans which instances share out the limit of a team: some of each data centre, so that callers rarely
 * wait for another data centre, and few enough that each share is of use.
 *
 * Instances with the same list of candidates compute the same plan without communicating.
 *
 * @public
 */
export function planLimitAllocators(options: {
  team: string;
  candidates: readonly ConnectionHolderCandidate[];
  dataCentre: string;
}): LimitAllocatorPlan {
  const { team, candidates, dataCentre } = options;
  const dataCentres = groupByDataCentre(candidates);
  const chosen = orderByRendezvous({ key: team, names: [...dataCentres.keys()] });
  const chosenNames = chosen.slice(0, MAXIMUM_DATA_CENTRES);
  const countPerDataCentre = Math.ceil(MINIMUM_ALLOCATORS / Math.max(1, chosenNames.length));
  const allocatorsOf = (name: string) => {
    const largest = sortByCapacity(dataCentres.get(name) ?? []).slice(0, MAXIMUM_CANDIDATES);
    const names = largest.map(({ instance }) => instance);
    return orderByRendezvous({ key: team, names }).slice(0, countPerDataCentre);
  };
  const byDataCentre = new Map(chosenNames.map((name) => [name, allocatorsOf(name)]));
  const remoteNames = chosenNames.filter((name) => name !== dataCentre);
  const remote = orderByRendezvous({ key: `${team}/${dataCentre}`, names: remoteNames });
  const remoteAllocators = remote.flatMap((name) => byDataCentre.get(name)!);
  const near = byDataCentre.get(dataCentre) ?? [];
  return {
    allocators: [...byDataCentre.values()].flat(),
    near,
    askedInOrder: [...near, ...remoteAllocators],
  };
}
