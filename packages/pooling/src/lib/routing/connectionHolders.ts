import { groupByDataCentre, orderByWeight, selectHoldingInstances } from './holdingInstances';
import type { ConnectionHolderCandidate } from './holdingInstances';

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
