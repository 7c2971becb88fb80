import { instanceSchema } from '@wisterialift/schema';
import type { ConfigurationObject, Instance } from '@wisterialift/schema';
import { z } from 'zod';
import { PeerServiceClient } from '../../generated/wisterialift/peer/v1/peer';
import { PeerAnswerError } from '../errors/peerAnswerError';
import { decodeAge } from '../ageOnWire';
import { MESSAGE_LIMIT_BYTES } from '../peerMessages';
import type {
  PeerConfiguration,
  PeerInstances,
  PeerStatus,
  PeerTls,
  PublishedPrimary,
} from '../peerMessages';
import { checkKeys } from '../tls/checkKeys';
import { createCallCredentials } from '../tls/peerCredentials';
import { callPeer } from './callPeer';

/** @public */
export interface PeerClientOptions {
  /** Time within which a peer answers. */
  deadlineMilliseconds: number;
  /** Mutual TLS; calls go in the clear without it. */
  tls?: PeerTls;
}

/**
 * Calls of other instances by their `host:port`. Each throws PeerUnavailableError where there is no
 * answer within the deadline and PeerAnswerError where the message is refused or the answer cannot
 * be understood.
 *
 * @public
 */
export interface PeerClient {
  /** @returns the number in force at the peer afterwards. */
  announceConfiguration: (
    address: string,
    configurationObject: ConfigurationObject,
  ) => Promise<number>;
  /** Asks for the configuration of the peer if its number is above the given one. */
  fetchConfiguration: (address: string, aboveNumber: number) => Promise<PeerConfiguration>;
  /** Asks for the instances that the peer knows. */
  fetchInstances: (address: string) => Promise<PeerInstances>;
  announcePrimary: (address: string, published: PublishedPrimary) => Promise<void>;
  /** @param instance - name of the instance that leaves. */
  announceLeaving: (address: string, instance: string) => Promise<void>;
  ping: (address: string) => Promise<PeerStatus>;
  /** Closes the connections to all other addresses. */
  retainAddresses: (addresses: readonly string[]) => void;
  /** Uses other keys from now on, over new connections. @throws PeerError where they cannot be used. */
  replaceKeys: (tls: PeerTls) => void;
  close: () => void;
}

/** Leaves out fields that this version does not know, as a peer may be of a newer one. */
const instancesSchema = z.array(z.object(instanceSchema.shape));

/** The list that a peer last sent. */
interface KnownList {
  digest: string;
  instances: Instance[];
}

/** Pauses between attempts to connect again; in between, calls fail at once. */
const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2_000,
  'grpc.max_receive_message_length': MESSAGE_LIMIT_BYTES,
  'grpc.max_send_message_length': MESSAGE_LIMIT_BYTES,
  'grpc.use_local_subchannel_pool': 1,
};

/**
 * Creates a client for calls of other instances. A connection is opened by the first call to an
 * address and kept.
 *
 * @throws PeerError where the keys cannot be used.
 *
 * @example
 * const peers = createPeerClient({ deadlineMilliseconds: 1_000 });
 * const { configurationNumber } = await peers.ping('10.0.0.2:7300');
 *
 * @public
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const services = new Map<string, PeerServiceClient>();
  const lists = new Map<string, KnownList>();
  if (options.tls) checkKeys(options.tls);
  let callCredentials = createCallCredentials(options.tls);
  const { deadlineMilliseconds } = options;

  function serviceAt(address: string): PeerServiceClient {
    const known = services.get(address);
    if (known) return known;
    const service = new PeerServiceClient(address, callCredentials, CHANNEL_OPTIONS);
    services.set(address, service);
    return service;
  }

  function closeAddress(address: string): void {
    services.get(address)?.close();
    services.delete(address);
    lists.delete(address);
  }

  async function announceConfiguration(
    address: string,
    configurationObject: ConfigurationObject,
  ): Promise<number> {
    const service = serviceAt(address);
    const { number } = await callPeer({
      method: service.announceConfiguration.bind(service),
      request: {
        number: configurationObject.number,
        configurationObjectJson: JSON.stringify(configurationObject),
      },
      deadlineMilliseconds,
    });
    return number;
  }

  async function fetchConfiguration(
    address: string,
    aboveNumber: number,
  ): Promise<PeerConfiguration> {
    const service = serviceAt(address);
    const { number, configurationObjectJson, ageMilliseconds } = await callPeer({
      method: service.fetchConfiguration.bind(service),
      request: { aboveNumber },
      deadlineMilliseconds,
    });
    return {
      number,
      configurationObject: parseJson(configurationObjectJson),
      ageMilliseconds: decodeAge(ageMilliseconds),
    };
  }

  /** A list that has not changed is not sent again; the one that came before stands for it. */
  async function fetchInstances(address: string): Promise<PeerInstances> {
    const service = serviceAt(address);
    const known = lists.get(address);
    const { instancesJson, ageMilliseconds, digest } = await callPeer({
      method: service.fetchInstances.bind(service),
      request: { knownDigest: known?.digest ?? '' },
      deadlineMilliseconds,
    });
    const isKnown = known !== undefined && known.digest === digest;
    const instances = isKnown ? known.instances : parseInstances(instancesJson);
    lists.set(address, { digest, instances });
    return { instances, ageMilliseconds: decodeAge(ageMilliseconds) };
  }

  async function announcePrimary(address: string, published: PublishedPrimary): Promise<void> {
    const service = serviceAt(address);
    const method = service.announcePrimary.bind(service);
    await callPeer({ method, request: published, deadlineMilliseconds });
  }

  async function announceLeaving(address: string, instance: string): Promise<void> {
    const service = serviceAt(address);
    const method = service.announceLeaving.bind(service);
    await callPeer({ method, request: { instance }, deadlineMilliseconds });
  }

  async function ping(address: string): Promise<PeerStatus> {
    const service = serviceAt(address);
    return callPeer({ method: service.ping.bind(service), request: {}, deadlineMilliseconds });
  }

  function retainAddresses(addresses: readonly string[]): void {
    const retained = new Set(addresses);
    [...services.keys()].filter((address) => !retained.has(address)).forEach(closeAddress);
  }

  function replaceKeys(tls: PeerTls): void {
    checkKeys(tls);
    callCredentials = createCallCredentials(tls);
    retainAddresses([]);
  }

  return {
    announceConfiguration,
    fetchConfiguration,
    fetchInstances,
    announcePrimary,
    announceLeaving,
    ping,
    retainAddresses,
    replaceKeys,
    close: () => retainAddresses([]),
  };
}

function parseInstances(text: string): Instance[] {
  const result = instancesSchema.safeParse(parseJson(text));
  if (result.success) return result.data;
  throw new PeerAnswerError('the instances of the peer are not a list of instances', {
    cause: result.error,
  });
}

function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new PeerAnswerError('the answer of the peer is not JSON', { cause: error });
  }
}
