import { orderByRendezvous } from '@wisterialift/core';

/** An instance that can hold connections on behalf of others. @public */
export interface ConnectionHolderCandidate {
  instance: string;
  dataCentre: string;
  /** Processor capacity relative to the other instances. */
  weight: number;
}

/** Which instances hold connections to the members of a group. @public */
export type ConnectionHolderPlan =
  /** Every instance connects for its own callers. */
  | { type: 'everyone' }
  /** Connections are held by a few instances, which serve the callers of all. */
  | {
      type: 'holders';
      /** Instances of the same data centre, in order of preference. */
      near: string[];
      /** Number of holders in the data centre; the next in order replaces an unreachable one. */
      nearCount: number;
      /** Holders in other data centres, used when none in the same data centre is reachable. */
      far: string[];
    };

/**
 * Connections per member that an instance needs: one for an open transaction that is idle, and one
 * for all other statements. With fewer, an idle transaction blocks the other callers.
 */
const MINIMUM_CONNECTIONS = 2;

/**
 * Connections per member of one holder. With fewer, a holder observes too few answers to confirm
 * commits and reads without extra requests; with more, its failure affects more callers.
 */
const CONNECTIONS_PER_HOLDER = 10;

/** Fraction of a member's connections given to holders; the rest is for instances that take over. */
const ALLOCATED_FRACTION = 0.9;

/**
 * Fraction of a data centre's processor capacity that holds the connections of all groups. An
 * instance that holds any must follow the directory closely, which costs calls to the store, so few
 * instances hold connections of many groups.
 */
const HOLDING_CAPACITY_FRACTION = 0.25;

/** With fewer holding instances, the loss of one would affect too many groups at once. */
const MINIMUM_HOLDING_INSTANCES = 4;

/**
 * Plans which instances hold the connections to the members of a group. Where a member accepts fewer
 * connections than there are instances and each opened its own, callers waited for one that another
 * instance left idle.
 *
 * Instances with the same list of candidates compute the same plan without communicating. If the
 * lists differ, more instances may act as holders than planned.
 *
 * @public
 */
export function planConnectionHolders(options: {
  group: string;
  candidates: readonly ConnectionHolderCandidate[];
  dataCentre: string;
  maximumConnections: number;
}): ConnectionHolderPlan {
  const { group, candidates, dataCentre, maximumConnections } = options;
  if (maximumConnections >= candidates.length * MINIMUM_CONNECTIONS) return { type: 'everyone' };
  const dataCentres = groupByDataCentre(candidates);
  const totalHolders = (maximumConnections * ALLOCATED_FRACTION) / CONNECTIONS_PER_HOLDER;
  const nearCount = Math.max(1, Math.floor(totalHolders / dataCentres.size));
  const ranked = new Map(
    [...dataCentres].map(([name, local]) => [name, rankInstances(group, local, nearCount)]),
  );
  const remoteDataCentres = [...ranked].filter(([name]) => name !== dataCentre);
  return {
    type: 'holders',
    near: ranked.get(dataCentre) ?? [],
    nearCount,
    far: remoteDataCentres.flatMap(([, instances]) => instances.slice(0, nearCount)),
  };
}

function groupByDataCentre(
  candidates: readonly ConnectionHolderCandidate[],
): Map<string, ConnectionHolderCandidate[]> {
  const names = [...new Set(candidates.map(({ dataCentre }) => dataCentre))].sort();
  return new Map(
    names.map((name) => [name, candidates.filter(({ dataCentre }) => dataCentre === name)]),
  );
}

/**
 * Instances of one data centre, in the order in which they become holders of the group: first those
 * that hold connections of any group, then the others.
 */
function rankInstances(
  group: string,
  candidates: readonly ConnectionHolderCandidate[],
  nearCount: number,
): string[] {
  const holding = selectHoldingInstances(candidates, nearCount);
  const others = candidates.filter((candidate) => !holding.includes(candidate));
  return [...orderByWeight(group, holding), ...orderByWeight(group, others)];
}

/** The largest instances of a data centre, as many as it takes to hold the connections of all groups. */
function selectHoldingInstances(
  candidates: readonly ConnectionHolderCandidate[],
  nearCount: number,
): ConnectionHolderCandidate[] {
  const minimumCount = Math.max(MINIMUM_HOLDING_INSTANCES, 2 * nearCount);
  const requiredCapacity = sumWeights(candidates) * HOLDING_CAPACITY_FRACTION;
  const largestFirst = [...candidates].sort(compareCapacity);
  const count = largestFirst.findIndex(
    (_, index) =>
      index + 1 >= minimumCount && sumWeights(largestFirst.slice(0, index + 1)) >= requiredCapacity,
  );
  return count === -1 ? largestFirst : largestFirst.slice(0, count + 1);
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

function orderByWeight(group: string, candidates: readonly ConnectionHolderCandidate[]): string[] {
  const weights = new Map(candidates.map(({ instance, weight }) => [instance, weight]));
  return orderByRendezvous({
    key: group,
    names: candidates.map(({ instance }) => instance),
    getWeight: (instance) => weights.get(instance) ?? 1,
  });
}
