import type { LogFields } from '@wisterialift/telemetry';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import type { SimulatedInstance } from '../instances/simulatedInstance';
import { roundTo, SHARE_PLACES } from './roundTo';

/** @public */
export interface SystemFigures {
  refusals: number;
  refusedAtFirstInstance: number;
  returnCreditsGiven: number;
  returnCreditsUsed: number;
  retries: number;
  probes: number;
  relayed: number;
  promotions: number;
  connectionsOpened: number;
  /** Connections opened for each statement that a database received. */
  connectionsPerStatement: number;
  placesExhausted: number;
  /** Refusals of reads while a replica that follows had an idle slot, whatever the instance knew. */
  refusedBesideIdleSlot: number;
  /** Refusals of reads with time left while the instance knew of a member that could run them. */
  refusedBesideIdle: number;
  /** Part of reads outside of transactions that replicas served. */
  replicaShare: number;
  /** Statements that databases failed because of a fault. */
  failedStatements: number;
  /** Ejections of members by instances. */
  ejections: number;
  /** Reads that failed at one member and were repeated at another. */
  repeatedReads: number;
}

/** What is counted while a world runs. @internal */
export interface WorldCounts {
  opened: number;
  exhausted: number;
  /** Statements that databases received, within and outside of transactions. */
  statements: number;
  refusedBesideIdleSlot: number;
  ejections: number;
  repeatedReads: number;
}

/**
 * Time in which instances can know that a replica is current again: they believe a lag for 0.4 s, and
 * the read that tries it takes a round trip.
 */
const RELEARN_MILLISECONDS = 500;

/** Whether a refused read could have run at once at a replica that has followed for some time. @internal */
export function isBesideIdle(
  { group, detail }: LogFields,
  databases: ReadonlyMap<string, SimulatedDatabase>,
): boolean {
  if (!String(detail).includes('read')) return false;
  return [...databases.values()].some(
    ({ group: name, state, slots, hasFollowed }) =>
      name === group && state.isUp && hasFollowed(RELEARN_MILLISECONDS) && slots.idleSlots() > 0,
  );
}

/** Adds up what the instances counted, and the counts of the world. @internal */
export function addUpSystem(
  instances: readonly SimulatedInstance[],
  counts: WorldCounts,
  databases: ReadonlyMap<string, SimulatedDatabase>,
): SystemFigures {
  const sums = {
    refusals: 0,
    refusedAtFirstInstance: 0,
    returnCreditsGiven: 0,
    returnCreditsUsed: 0,
    refusedBesideIdle: 0,
    retries: 0,
    probes: 0,
    relayed: 0,
    promotions: 0,
  };
  const reads = { replica: 0, all: 0 };
  for (const instance of instances) {
    for (const group of instance.counters()) {
      for (const name of Object.keys(sums) as (keyof typeof sums)[]) sums[name] += group[name];
      reads.replica += group.replicaReads;
      reads.all += group.replicaReads + group.primaryReads;
    }
  }
  return {
    ...sums,
    connectionsOpened: counts.opened,
    connectionsPerStatement: roundTo(counts.opened / Math.max(1, counts.statements), SHARE_PLACES),
    placesExhausted: counts.exhausted,
    refusedBesideIdleSlot: counts.refusedBesideIdleSlot,
    ejections: counts.ejections,
    repeatedReads: counts.repeatedReads,
    failedStatements: [...databases.values()].reduce(
      (sum, { failedStatements }) => sum + failedStatements(),
      0,
    ),
    replicaShare: reads.all === 0 ? 1 : roundTo(reads.replica / reads.all, SHARE_PLACES),
  };
}
