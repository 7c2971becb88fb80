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

/** A listener that keeps what it was told. */
function createListener(port: number) {
  const heard = { primaries: [] as PublishedPrimary[], leaving: [] as string[] };
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
      onPrimaryPublished: (published) => heard.primaries.push(published),
      onLeavingAnnounced: (instance) => heard.leaving.push(instance),
      onPing: () => ({ instance: 'p2', configurationNumber: held?.number ?? -1 }),
    },
  });
  return { server, heard };
}

let server: PeerServer;
let heard: ReturnType<typeof createListener>['heard'];
let peers: PeerClient;
let address: string;

beforeEach(async () => {
  ({ server, heard } = createListener(0));
  address = `127.0.0.1:${await server.start()}`;
  peers = createPeerClient({ deadlineMilliseconds: 5_000 });
});

afterEach(async () => {
  peers.close();
  await server.stop();
});

function configurationWith(number: number, user = 'x'): ConfigurationObject {
  const database = { name: 'a1', host: 'h', port: 1, dataCentre: 'd' };
  const limits = { connectionLimit: 1, slots: 1, leaving: false };
  const groups = { g1: { databases: [{ ...database, ...limits }], user, password: 'y' } };
  const { configuration } = EMPTY_CONFIGURATION_OBJECT;
  return { number, configuration: { ...configuration, groups }, patches: [] };
}

describe('messages between instances', () => {
  it('carry a configuration, and carry it back only where it is news', async () => {
    const nothing = {
      number: NO_CONFIGURATION_NUMBER,
      configurationObject: undefined,
      ageMilliseconds: Infinity,
    };
    expect(await peers.fetchConfiguration(address, NO_CONFIGURATION_NUMBER)).toEqual(nothing);
    const configurationObject = configurationWith(7);
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

  /*
   * The list is asked for every few seconds and changes once a day. A change must not be hidden by
   * the digest that spares sending it again.
   */
  it('carry the instances, again only once they have changed', async () => {
    const changed = [{ ...INSTANCES[0]!, state: 'leaving' as const }];
    const age = { ageMilliseconds: 30 };
    expect(await peers.fetchInstances(address)).toEqual({ instances: INSTANCES, ...age });
    expect(await peers.fetchInstances(address)).toEqual({ instances: INSTANCES, ...age });
    instances = changed;
    expect(await peers.fetchInstances(address)).toEqual({ instances: changed, ...age });
    instances = INSTANCES;
    expect(await peers.fetchInstances(address)).toEqual({ instances: INSTANCES, ...age });
  });

  it('carry a published primary and a leaving', async () => {
    const published = { group: 'archivio-1', term: 4, primary: 'a2' };
    await peers.announcePrimary(address, published);
    await peers.announceLeaving(address, 'p1');
    expect(heard).toEqual({ primaries: [published], leaving: ['p1'] });
  });

  it('carry a configuration of a megabyte and refuse one of more than four', async () => {
    const large = configurationWith(8, 'x'.repeat(1_000_000));
    expect(await peers.announceConfiguration(address, large)).toBe(8);
    const tooLarge = configurationWith(9, 'x'.repeat(5_000_000));
    await expect(peers.announceConfiguration(address, tooLarge)).rejects.toThrow(PeerAnswerError);
    expect(await peers.ping(address)).toMatchObject({ configurationNumber: 8 });
  });

  /*
   * An instance is replaced by another at the same address. Whoever had a connection to the first
   * must reach the second without being started again.
   */
  it('reach a peer again that went away and came back at its address', async () => {
    await peers.ping(address);
    await server.stop();
    await expect(peers.ping(address)).rejects.toThrow(PeerUnavailableError);
    ({ server, heard } = createListener(Number(address.split(':')[1])));
    await server.start();
    await expect
      .poll(() => peers.ping(address).catch(() => undefined), { timeout: 20_000 })
      .toMatchObject({ instance: 'p2' });
  });
});
