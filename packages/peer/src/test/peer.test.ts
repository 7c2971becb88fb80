import { EMPTY_CONFIGURATION_OBJECT } from '@wisterialift/core';
import type { ConfigurationObject, Instance } from '@wisterialift/schema';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  NO_CONFIGURATION_NUMBER,
  PeerAnswerError,
  PeerUnavailableError,
  createPeerClient,
  createPeerServer,
} from '..';
import type { PeerClient, PeerServer, PublishedPrimary } from '..';

const INSTANCES: Instance[] = [
  {
    name: 'p2',
    dataCentre: 'sesto-dc',
    region: 'lomb-nord',
    peerAddress: '127.0.0.1:7300',
    administrationAddress: '127.0.0.1:7400',
    state: 'live',
  },
];

let instances = INSTANCES;

/** Creates a server that records announcements. */
function createTestServer(port: number) {
  const received = { primaries: [] as PublishedPrimary[], leaving: [] as string[] };
  let held: ConfigurationObject | undefined;
  const server = createPeerServer({
    host: '127.0.0.1',
    port,
    handlers: {
      onConfigurationAnnounced: (configurationObject) => {
        held = configurationObject as ConfigurationObject;
        return held.number;
      },
      onConfigurationRequested: () => ({
        configurationObject: held,
        ageMilliseconds: held ? 20 : Infinity,
      }),
      onInstancesRequested: () => ({ instances, ageMilliseconds: 30 }),
      onPrimaryPublished: (published) => received.primaries.push(published),
      onLeavingAnnounced: (instance) => received.leaving.push(instance),
      onPing: () => ({ instance: 'p2', configurationNumber: held?.number ?? -1 }),
    },
  });
  return { server, received };
}

let server: PeerServer;
let received: ReturnType<typeof createTestServer>['received'];
let peers: PeerClient;
let address: string;

beforeEach(async () => {
  ({ server, received } = createTestServer(0));
  address = `127.0.0.1:${await server.start()}`;
  peers = createPeerClient({ deadlineMilliseconds: 5_000 });
});

afterEach(async () => {
  peers.close();
  await server.stop();
});

function createConfiguration(number: number, user = 'x'): ConfigurationObject {
  const database = { name: 'a1', host: 'h', port: 1, dataCentre: 'd' };
  const limits = { connectionLimit: 1, slots: 1, leaving: false };
  const groups = { g1: { databases: [{ ...database, ...limits }], user, password: 'y' } };
  const { configuration } = EMPTY_CONFIGURATION_OBJECT;
  return { number, configuration: { ...configuration, groups }, patches: [] };
}

describe('messages between instances', () => {
  it('transfer a configuration, and return it only if it is newer', async () => {
    const nothing = {
      number: NO_CONFIGURATION_NUMBER,
      configurationObject: undefined,
      ageMilliseconds: Infinity,
    };
    expect(await peers.fetchConfiguration(address, NO_CONFIGURATION_NUMBER)).toEqual(nothing);
    const configurationObject = createConfiguration(7);
    expect(await peers.announceConfiguration(address, configurationObject)).toBe(7);
    expect(await peers.fetchConfiguration(address, 6)).toEqual({
      number: 7,
      configurationObject,
      ageMilliseconds: 20,
    });
    expect(await peers.fetchConfiguration(address, 7)).toEqual({
      number: 7,
      configurationObject: undefined,
      ageMilliseconds: 20,
    });
    expect(await peers.ping(address)).toEqual({ instance: 'p2', configurationNumber: 7 });
  });

  // Guards against a digest that hides a changed list.
  it('transfer the instances, with and without a change', async () => {
    const changed = [{ ...INSTANCES[0]!, state: 'leaving' as const }];
    const age = { ageMilliseconds: 30 };
    expect(await peers.fetchInstances(address)).toEqual({ instances: INSTANCES, ...age });
    expect(await peers.fetchInstances(address)).toEqual({ instances: INSTANCES, ...age });
    instances = changed;
    expect(await peers.fetchInstances(address)).toEqual({ instances: changed, ...age });
    instances = INSTANCES;
    expect(await peers.fetchInstances(address)).toEqual({ instances: INSTANCES, ...age });
  });

  it('announce a published primary and a stopping instance', async () => {
    const published = { group: 'archivio-1', term: 4, primary: 'a2' };
    await peers.announcePrimary(address, published);
    await peers.announceLeaving(address, 'p1');
    expect(received).toEqual({ primaries: [published], leaving: ['p1'] });
  });

  it('accept a configuration of 1 MB and reject one above 4 MiB', async () => {
    const large = createConfiguration(8, 'x'.repeat(1_000_000));
    expect(await peers.announceConfiguration(address, large)).toBe(8);
    const tooLarge = createConfiguration(9, 'x'.repeat(5_000_000));
    await expect(peers.announceConfiguration(address, tooLarge)).rejects.toThrow(PeerAnswerError);
    expect(await peers.ping(address)).toMatchObject({ configurationNumber: 8 });
  });

  // Guards against a client that cannot reconnect after an instance is replaced at the same address.
  it('reach a peer again after it restarted at the same address', async () => {
    await peers.ping(address);
    await server.stop();
    await expect(peers.ping(address)).rejects.toThrow(PeerUnavailableError);
    ({ server, received } = createTestServer(Number(address.split(':')[1])));
    await server.start();
    await expect
      .poll(() => peers.ping(address).catch(() => undefined), { timeout: 20_000 })
      .toMatchObject({ instance: 'p2' });
  });
});
