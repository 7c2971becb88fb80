import type { Random } from '@wisterialift/fuzz';
import { createReplicatedLog } from '../databases/replicatedLog';
import type { ReplicatedLog } from '../databases/replicatedLog';
import { createSimulatedDatabase } from '../databases/simulatedDatabase';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import { createHost } from '../simulation/host';
import type { Simulation } from '../simulation/host';
import type { Experiment, RequestKind } from './experimentSchema';

/** The groups of an experiment, by name. @internal */
export function createGroups(
  { deployment }: Experiment,
  { scheduler, random }: Simulation,
): Map<string, ReplicatedLog> {
  const { groups, members, ...replication } = deployment;
  return new Map(
    Array.from({ length: groups }, (_, index) => {
      const name = `group-${index + 1}`;
      const memberIds = Array.from({ length: members }, (__, number) => `${name}-db-${number + 1}`);
      return [name, createReplicatedLog({ ...replication, memberIds, scheduler, random })];
    }),
  );
}

/** Their databases by id; each group has its primary in another data centre. @internal */
export function createDatabases(options: {
  experiment: Experiment;
  simulation: Simulation;
  groups: ReadonlyMap<string, ReplicatedLog>;
  places: Map<string, string>;
  workTime: (text: string) => number;
}): Map<string, SimulatedDatabase> {
  const { experiment, simulation, groups, places, workTime } = options;
  const { dataCentres, slots, queueLength, maximumConnections, handshakeTime } =
    experiment.deployment;
  const limits = { slots, queueLength, maximumConnections, handshakeTime };
  const databases = new Map<string, SimulatedDatabase>();
  [...groups].forEach(([group, replication], groupIndex) => {
    [...replication.members.keys()].forEach((memberId, index) => {
      const place = dataCentres[(groupIndex + index) % dataCentres.length]!.name;
      const host = createHost(memberId, place);
      places.set(memberId, place);
      databases.set(
        memberId,
        createSimulatedDatabase({ simulation, group, host, replication, limits, workTime }),
      );
    });
  });
  return databases;
}

/** Times of statements, log-normal by kind; a commit takes as long as a short one. @internal */
export function createWorkTimes(kinds: readonly RequestKind[], random: Random) {
  const byName = new Map(kinds.map((kind) => [kind.name, kind]));
  const shortest = kinds.toSorted((left, right) => left.work - right.work)[0]!;
  return (text: string): number => {
    const { work, workSpread, longestWork } = byName.get(text.split(' ')[1] ?? '') ?? shortest;
    return Math.min(longestWork, work * Math.exp(workSpread * drawNormal(random)));
  };
}

function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
