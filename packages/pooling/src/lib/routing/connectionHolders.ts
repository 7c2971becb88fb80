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
 * for all other statements.
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
 * Plans which instances hold the connections to the members of a group.
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
  const ranked = rankInstancesByDataCentre(group, candidates);
  const totalHolders = (maximumConnections * ALLOCATED_FRACTION) / CONNECTIONS_PER_HOLDER;
  const nearCount = Math.max(1, Math.floor(totalHolders / ranked.size));
  const remoteDataCentres = [...ranked].filter(([name]) => name !== dataCentre);
  return {
    type: 'holders',
    near: ranked.get(dataCentre) ?? [],
    nearCount,
    far: remoteDataCentres.flatMap(([, instances]) => instances.slice(0, nearCount)),
  };
}

/** Instances of each data centre, in the order in which they become holders of the group. */
function rankInstancesByDataCentre(
  group: string,
  candidates: readonly ConnectionHolderCandidate[],
): Map<string, string[]> {
  const weights = new Map(candidates.map(({ instance, weight }) => [instance, weight]));
  const dataCentres = [...new Set(candidates.map((candidate) => candidate.dataCentre))].sort();
  return new Map(
    dataCentres.map((dataCentre) => [
      dataCentre,
      orderByRendezvous({
        key: group,
        names: candidates
          .filter((candidate) => candidate.dataCentre === dataCentre)
          .map(({ instance }) => instance),
        getWeight: (instance) => weights.get(instance) ?? 1,
      }),
    ]),
  );
}
