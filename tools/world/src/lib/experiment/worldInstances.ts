import type { GatewayConfiguration, Mechanism } from '@wisterialift/gateway';
import type { Logger } from '@wisterialift/telemetry';
import { LEAVING_BOUND_MILLISECONDS } from '../callers/oracle';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import { createSimulatedDriver } from '../databases/simulatedDriver';
import { createSimulatedInstance } from '../instances/simulatedInstance';
import type { SimulatedInstance } from '../instances/simulatedInstance';
import { createSimulatedTransport } from '../instances/simulatedTransport';
import type { RelayListeners } from '../instances/simulatedTransport';
import type { SimulatedPlatform } from '../platform/simulatedPlatform';
import { createHost } from '../simulation/host';
import type { Host, Simulation } from '../simulation/host';
import type { Experiment } from './experimentSchema';

/** By how much the platform lets the limits of teams be exceeded. */
const LIMIT_TOLERANCE = { windowMilliseconds: 5_000, excess: 0.1, slack: 20 };

/** Routes of every kind to every group. @internal */
export function createConfiguration(
  experiment: Experiment,
  groups: string[],
): GatewayConfiguration {
  const { kinds, deployment } = experiment;
  const { maximumConnections } = deployment;
  const routes = groups.flatMap((group) =>
    kinds.map(({ name, consistency, maximumStaleness, timeout, goal, priority }) => ({
      database: `${name}@${group}`,
      group,
      consistency,
      maximumStaleness,
      timeout,
      goal,
      priority,
    })),
  );
  return {
    version: 1,
    routes: new Map(routes.map((route) => [route.database, route])),
    groups: new Map(groups.map((name) => [name, { name, maximumConnections }])),
    transactionIdle: 3_000,
  };
}

/** The instances of all data centres, not started yet. @internal */
export function createInstances(options: {
  experiment: Experiment;
  simulation: Simulation;
  databases: ReadonlyMap<string, SimulatedDatabase>;
  platform: SimulatedPlatform;
  places: Map<string, string>;
  logger: Logger;
  without: readonly Mechanism[];
  onOpened: () => void;
}): SimulatedInstance[] {
  const { experiment, simulation, databases, platform, places, logger, without } = options;
  const { dataCentres, startTime, loadControls } = experiment.deployment;
  const listeners: RelayListeners = new Map();
  const hosts = new Map<string, Host>();
  const findDatabase = (address: string) => databases.get(address);
  const portsFor = (host: Host) => {
    const { name, dataCentre } = host;
    const own = { instance: name, dataCentre, address: name, weight: 1 };
    return {
      ...platform.portsOf(host, own),
      instance: name,
      dataCentre,
      times: {
        stopGracePeriodMilliseconds: 6_000,
        missingMemberRetentionMilliseconds: 2_500,
        leavingGracePeriodMilliseconds: LEAVING_BOUND_MILLISECONDS,
      },
      driver: createSimulatedDriver({
        simulation,
        host,
        findDatabase,
        onOpened: options.onOpened,
      }),
      transport: createSimulatedTransport({ simulation, host, hosts, listeners }),
      limitTolerance: LIMIT_TOLERANCE,
      disabledMechanisms: new Set(without),
      loadControls,
    };
  };
  return dataCentres.flatMap(({ name: place, instances: count }) =>
    Array.from({ length: count }, (_, index) => {
      const host = createHost(`${place}-${index + 1}`, place);
      places.set(host.name, place);
      hosts.set(host.name, host);
      return createSimulatedInstance({ simulation, host, startTime, logger, portsFor });
    }),
  );
}
