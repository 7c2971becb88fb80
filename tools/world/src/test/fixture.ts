import { createNetwork, createRandom, createScheduler } from '@wisterialift/fuzz';
import type { UpstreamConnection } from '@wisterialift/gateway';
import { createReplicatedLog } from '../lib/databases/replicatedLog';
import { createSimulatedDatabase } from '../lib/databases/simulatedDatabase';
import type { SimulatedDatabase } from '../lib/databases/simulatedDatabase';
import { createSimulatedDriver } from '../lib/databases/simulatedDriver';
import { createHost } from '../lib/simulation/host';
import type { Simulation } from '../lib/simulation/host';
import { runWorldUntil } from '../lib/simulation/simulatedClock';

const GROUP = 'group-1';

/** Three databases and one process that connects to them. */
export function createTestGroup(limits: { slots?: number; queueLength?: number } = {}) {
  const scheduler = createScheduler();
  const random = createRandom(1);
  const network = createNetwork({
    scheduler,
    random,
    delayMilliseconds: 5,
    jitterMilliseconds: 1,
    deliveredAfterCut: 1,
  });
  const simulation: Simulation = { scheduler, network, random };
  const memberIds = ['db-1', 'db-2', 'db-3'];
  const replication = createReplicatedLog({
    memberIds,
    lag: 20,
    promoteTime: 300,
    scheduler,
    random,
  });
  const databases = new Map<string, SimulatedDatabase>(
    memberIds.map((memberId) => [
      memberId,
      createSimulatedDatabase({
        simulation,
        group: GROUP,
        host: createHost(memberId, 'here'),
        replication,
        limits: { slots: 2, queueLength: 1, maximumConnections: 3, handshakeTime: 12, ...limits },
        workTime: () => 20,
      }),
    ]),
  );
  const host = createHost('instance-1', 'here');
  const driver = createSimulatedDriver({
    simulation,
    host,
    findDatabase: (address) => databases.get(address),
    onOpened: () => undefined,
  });

  /** Lets the world go on for some time and gives what a promise came to. */
  async function settle<Value>(promise: Promise<Value>, milliseconds = 500): Promise<Value> {
    const settled = promise.catch((error: Error) => error as unknown as Value);
    await runWorldUntil(scheduler, scheduler.now() + milliseconds);
    return settled;
  }

  const connect = (memberId: string, address = memberId): Promise<UpstreamConnection> =>
    driver.connect({
      group: GROUP,
      memberId,
      address,
      timeoutMilliseconds: 700,
      team: undefined,
    });

  const write = (connection: UpstreamConnection, value: string) =>
    connection.run({ type: 'forward', id: value, text: `WRITE item ${value}` });

  const read = (connection: UpstreamConnection, after?: { term: number; index: number }) =>
    connection.run({ type: 'forward', id: 'r', text: 'READ item', after });

  return { scheduler, replication, databases, host, driver, settle, connect, write, read };
}
