import { createNetwork, createRandom, createScheduler } from '@wisterialift/fuzz';
import type { Mechanism } from '@wisterialift/gateway';
import type { Logger } from '@wisterialift/telemetry';
import { createWorldTeams } from '../callers/teams';
import type { WorldTeams } from '../callers/teams';
import type { ReplicatedLog } from '../databases/replicatedLog';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import type { SimulatedInstance } from '../instances/simulatedInstance';
import { createSimulatedPlatform } from '../platform/simulatedPlatform';
import type { SimulatedPlatform } from '../platform/simulatedPlatform';
import type { Simulation } from '../simulation/host';
import type { Experiment } from './experimentSchema';
import { createDatabases, createGroups, createWorkTimes } from './worldDatabases';
import { createConfiguration, createInstances } from './worldInstances';

/** All that an experiment plays with, before its start. @internal */
export interface World {
  simulation: Simulation;
  groups: ReadonlyMap<string, ReplicatedLog>;
  databases: ReadonlyMap<string, SimulatedDatabase>;
  platform: SimulatedPlatform;
  instances: readonly SimulatedInstance[];
  teams: WorldTeams;
  /** Publishes a version of the configuration with the teams as they are now. */
  publish: () => void;
}

const JITTER_MILLISECONDS = 0.3;

/** @internal */
export function buildWorld(
  experiment: Experiment,
  options: {
    seed: number;
    without: readonly Mechanism[];
    /** Writes the log lines of the instances. */
    createLogger: (databases: World['databases'], simulation: Simulation) => Logger;
    onConnectionOpened: () => void;
  },
): World {
  const { seed, without, createLogger, onConnectionOpened } = options;
  const places = new Map<string, string>();
  const simulation = createSimulation(experiment, seed, places);
  const groups = createGroups(experiment, simulation);
  const workTime = createWorkTimes(experiment.kinds, simulation.random);
  const databases = createDatabases({ experiment, simulation, groups, places, workTime });
  const { slots, dataCentres, platformDataCentre = dataCentres[0]!.name } = experiment.deployment;
  const platform = createSimulatedPlatform({
    simulation,
    databases,
    groups,
    slots,
    dataCentre: platformDataCentre,
  });
  for (const group of groups.values()) group.onRoleChange(platform.review);
  const teams = createWorldTeams(experiment);
  let version = 0;
  const publish = () => {
    version += 1;
    const configuration = createConfiguration(experiment, [...groups.keys()]);
    platform.configure({ ...configuration, version, teams: teams.describe() });
  };
  publish();
  platform.review();
  const instances = createInstances({
    experiment,
    simulation,
    databases,
    platform,
    places,
    logger: createLogger(databases, simulation),
    without,
    onOpened: onConnectionOpened,
  });
  return { simulation, groups, databases, platform, instances, teams, publish };
}

function createSimulation(
  experiment: Experiment,
  seed: number,
  places: ReadonlyMap<string, string>,
): Simulation {
  const scheduler = createScheduler();
  const random = createRandom(seed);
  const network = createNetwork({
    scheduler,
    random,
    delayMilliseconds: (from, to) => delayBetween(experiment, places, from, to),
    jitterMilliseconds: JITTER_MILLISECONDS,
    deliveredAfterCut: 1,
  });
  return { scheduler, network, random };
}

function delayBetween(
  { deployment }: Experiment,
  places: ReadonlyMap<string, string>,
  from: string,
  to: string,
): number {
  const isCaller = from.startsWith('callers-') || to.startsWith('callers-');
  if (isCaller) return deployment.callerDelay;
  const isSame = places.get(from) === places.get(to);
  return isSame ? deployment.sameDataCentreDelay : deployment.otherDataCentreDelay;
}
