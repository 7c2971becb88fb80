import { orderByRendezvous } from '@wisterialift/core';

/** An instance that can hold connections on behalf of others. @public */
export interface ConnectionHolderCandidate {
  instance: string;
  dataCentre: string;
  /** Processor capacity relative to the other instances. */
  weight: number;
}

/**
 * Fraction of a data centre's processor capacity that holds the connections of all groups. An
 * instance that holds any must follow the directory closely, which costs calls to the store, so few
 * instances hold connections of many groups.
 */
const HOLDING_CAPACITY_FRACTION = 0.25;

/** With fewer holding instances, the loss of one would affect too many groups at once. */
const MINIMUM_HOLDING_INSTANCES = 4;

/** Groups instances by data centre, in the order of the names of the data centres. */
export function groupByDataCentre(
  candidates: readonly ConnectionHolderCandidate[],
): Map<string, ConnectionHolderCandidate[]> {
  const names = [...new Set(candidates.map(({ dataCentre }) => dataCentre))].sort();
  return new Map(
    names.map((name) => [name, candidates.filter(({ dataCentre }) => dataCentre === name)]),
  );
}

/** The largest instances of a data centre, as many as it takes to hold the connections of all groups. */
export function selectHoldingInstances(
  candidates: readonly ConnectionHolderCandidate[],
  nearCount: number,
): ConnectionHolderCandidate[] {
  const minimumCount = Math.max(MINIMUM_HOLDING_INSTANCES, 2 * nearCount);
  const requiredCapacity = sumWeights(candidates) * HOLDING_CAPACITY_FRACTION;
  const largestFirst = sortByCapacity(candidates);
  const count = largestFirst.findIndex(
    (_, index) =>
      index + 1 >= minimumCount && sumWeights(largestFirst.slice(0, index + 1)) >= requiredCapacity,
  );
  return count === -1 ? largestFirst : largestFirst.slice(0, count + 1);
}

/** Sorts instances by capacity, the largest first. */
export function sortByCapacity(
  candidates: readonly ConnectionHolderCandidate[],
): ConnectionHolderCandidate[] {
  return [...candidates].sort(compareCapacity);
}

/** Sorts by name where capacities are equal, so that all instances select the same ones. */
function compareCapacity(
  left: ConnectionHolderCandidate,
  right: ConnectionHolderCandidate,
): number {
  if (left.weight !== right.weight) return right.weight - left.weight;
  return left.instance < right.instance ? -1 : 1;
}

function sumWeights(candidates: readonly ConnectionHolderCandidate[]): number {
  return candidates.reduce((sum, { weight }) => sum + weight, 0);
}

/** Orders instances by rendezvous hashing of a key, weighted by their capacity. */
export function orderByWeight(
  key: string,
  candidates: readonly ConnectionHolderCandidate[],
): string[] {
  const weights = new Map(candidates.map(({ instance, weight }) => [instance, weight]));
  return orderByRendezvous({
    key,
    names: candidates.map(({ instance }) => instance),
    getWeight: (instance) => weights.get(instance) ?? 1,
  });
}
