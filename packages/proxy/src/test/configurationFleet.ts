import { createPeerClient, createPeerServer } from '@wisterialift/peer';
import type { PeerClient, PublishedPrimary } from '@wisterialift/peer';
import { createPlatformClient } from '@wisterialift/platform';
import type { PlatformClient } from '@wisterialift/platform';
import { settingsSchema } from '@wisterialift/schema';
import type { ConfigurationPatch, Instance, Settings } from '@wisterialift/schema';
import { createPlatformStandIn } from '@wisterialift/stand-in-platform';
import type { PlatformStandIn } from '@wisterialift/stand-in-platform';
import { createConfigurationTask } from '../lib/configuration/configurationTask';
import type { ConfigurationTask } from '../lib/configuration/configurationTask';
import type { ConfigurationEvent } from '../lib/configuration/configurationEvents';

/** Options of one instance of a fleet. */
export interface FleetInstanceOptions {
  name: string;
  dataCentre?: string;
  seeds?: string[];
  /** Wrap the clients to inject failures of platform or peer calls. */
  wrapPlatform?: (platform: PlatformClient) => PlatformClient;
  wrapPeers?: (peers: PeerClient) => PeerClient;
  /** Called when the instance adopts a configuration. */
  onAdopted?: (number: number) => void;
  /** False keeps the loops of the task stopped, so that only explicit calls reach the platform. */
  isStarted?: boolean;
}

/** One instance of a fleet, with everything that its task has reported. */
export interface FleetInstance {
  name: string;
  task: ConfigurationTask;
  peerAddress: string;
  adoptedNumbers: number[];
  instances: () => Instance[];
  primaries: PublishedPrimary[];
  events: ConfigurationEvent[];
  stop: () => Promise<void>;
}

export interface Fleet {
  platform: PlatformStandIn;
  /** A platform client without injected failures. */
  client: PlatformClient;
  instances: FleetInstance[];
  add: (options: FleetInstanceOptions) => Promise<FleetInstance>;
  stop: () => Promise<void>;
}

export interface FleetOptions {
  pollMilliseconds?: number;
  watchMilliseconds?: number;
}

/** Starts a simulated platform; added instances run in this process and connect over loopback. */
export async function createFleet(options: FleetOptions = {}): Promise<Fleet> {
  const { pollMilliseconds = 100, watchMilliseconds = 500 } = options;
  const platform = createPlatformStandIn({ host: '127.0.0.1', port: 0, controlPort: 0 });
  const { port } = await platform.start();
  const address = `http://127.0.0.1:${port}`;
  const client = createPlatformClient({ address, timeoutMilliseconds: 5_000 });
  const instances: FleetInstance[] = [];

  async function add(instanceOptions: FleetInstanceOptions): Promise<FleetInstance> {
    const settings = createSettings(instanceOptions, {
      address,
      timeoutMilliseconds: 5_000,
      pollMilliseconds,
      watchMilliseconds,
    });
    const instance = await startInstance(settings, instanceOptions);
    instances.push(instance);
    return instance;
  }

  async function stop(): Promise<void> {
    await Promise.all(instances.map((instance) => instance.stop()));
    client.close();
    await platform.stop();
  }

  return { platform, client, instances, add, stop };
}

/** Adds seven instances in three data centres. */
export async function addSevenInstances(fleet: Fleet): Promise<FleetInstance[]> {
  const dataCentres = ['sesto-dc', 'sesto-dc', 'sesto-dc', 'mestre-dc', 'mestre-dc'];
  const all = [...dataCentres, 'modena-dc', 'modena-dc'];
  return Promise.all(
    all.map((dataCentre, index) => fleet.add({ name: `p${index + 1}`, dataCentre })),
  );
}

/** A patch that adds a request kind named after the patch id, so that every patch is a change. */
export function createPatch(changes: Partial<ConfigurationPatch> = {}): ConfigurationPatch {
  const { patchId = 'patch-1', againstNumber = 0 } = changes;
  const kinds = { [`kind-of-${patchId}`]: { deadlineMilliseconds: 1_000 } };
  return { patchId, againstNumber, author: 'operator', changes: { kinds }, ...changes };
}

function createSettings(instance: FleetInstanceOptions, platform: Settings['platform']): Settings {
  const { name, dataCentre = 'sesto-dc', seeds = [] } = instance;
  return settingsSchema.parse({
    instance: { name, dataCentre, region: 'lomb-nord' },
    callers: { port: 0 },
    peers: { port: 0, seeds },
    administration: { port: 0, token: 'not-used-here' },
    platform,
  });
}

async function startInstance(
  settings: Settings,
  options: FleetInstanceOptions,
): Promise<FleetInstance> {
  const { wrapPlatform = identity, wrapPeers = identity, onAdopted, isStarted = true } = options;
  const { name } = settings.instance;
  const platformClient = createPlatformClient(settings.platform);
  const peerClient = createPeerClient({ deadlineMilliseconds: 1_000 });
  const adoptedNumbers: number[] = [];
  const primaries: PublishedPrimary[] = [];
  const events: ConfigurationEvent[] = [];

  const task = createConfigurationTask({
    settings,
    platform: wrapPlatform(platformClient),
    peers: wrapPeers(peerClient),
    getEstablishedMemberSets: () => ({}),
    random: createRandom(name),
    now: () => performance.now(),
    onConfiguration: ({ number }) => {
      adoptedNumbers.push(number);
      onAdopted?.(number);
    },
    onInstances: () => {},
    onPrimaryPublished: (published) => primaries.push(published),
    record: (event) => events.push(event),
    times: { backOff: { initialMilliseconds: 10, maximumMilliseconds: 100 } },
  });
  const peerServer = createPeerServer({ ...settings.peers, handlers: task.peerHandlers });
  const peerAddress = `127.0.0.1:${await peerServer.start()}`;
  if (isStarted) task.start({ peerAddress, administrationAddress: peerAddress });

  async function stop(): Promise<void> {
    await task.stop();
    await peerServer.stop();
    peerClient.close();
    platformClient.close();
  }

  const { instances } = task;
  return { name, task, peerAddress, adoptedNumbers, instances, primaries, events, stop };
}

function identity<Value>(value: Value): Value {
  return value;
}

/** A deterministic sequence of numbers in [0, 1), seeded by the name. */
function createRandom(name: string): () => number {
  let state = [...name].reduce((sum, character) => sum * 31 + character.charCodeAt(0), 7);
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
