import { instanceSchema } from '@wisterialift/schema';
import type { ConfigurationObject, Instance } from '@wisterialift/schema';
import { z } from 'zod';
import { PeerServiceClient } from '../../generated/wisterialift/peer/v1/peer';
import { PeerAnswerError } from '../errors/peerAnswerError';
import { decodeAge } from '../ageEncoding';
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
  /** Deadline of each call. */
  deadlineMilliseconds: number;
  /** Mutual TLS; calls are unencrypted without it. */
  tls?: PeerTls;
}

/**
 * Client of other instances by `host:port`. Every call throws PeerUnavailableError if the peer cannot be
 * reached or does not answer within the deadline, and PeerAnswerError if the message is rejected or the
 * answer is invalid.
 *
 * @public
 */
export interface PeerClient {
  /** @returns the active number at the peer afterwards. */
  announceConfiguration: (
    address: string,
    configurationObject: ConfigurationObject,
  ) => Promise<number>;
  /** Fetches the peer's configuration if its number is above the given one. */
  fetchConfiguration: (address: string, aboveNumber: number) => Promise<PeerConfiguration>;
  /** Fetches the peer's list of instances. */
  fetchInstances: (address: string) => Promise<PeerInstances>;
  announcePrimary: (address: string, published: PublishedPrimary) => Promise<void>;
  /** @param instance - name of the instance that is about to stop. */
  announceLeaving: (address: string, instance: string) => Promise<void>;
  ping: (address: string) => Promise<PeerStatus>;
  /** Closes the connections to all other addresses. */
  retainAddresses: (addresses: readonly string[]) => void;
  /**
   * Closes the connections; later calls connect with the new keys.
   *
   * @throws PeerError if the keys are invalid.
   */
  replaceKeys: (tls: PeerTls) => void;
  close: () => void;
}

/** Strips unknown fields, which a peer with a newer version may send. */
const instancesSchema = z.array(z.object(instanceSchema.shape));

/** The last list received from a peer. */
interface CachedList {
  digest: string;
  instances: Instance[];
}

/** Short reconnect backoff, since calls fail at once during it. */
const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2_000,
  'grpc.max_receive_message_length': MESSAGE_LIMIT_BYTES,
  'grpc.max_send_message_length': MESSAGE_LIMIT_BYTES,
  'grpc.use_local_subchannel_pool': 1,
};

/**
 * Creates a client for other instances. The first call to an address opens a lasting connection.
 *
 * @throws PeerError if the keys are invalid.
 *
 * @example
 * const peers = createPeerClient({ deadlineMilliseconds: 1_000 });
 * const { configurationNumber } = await peers.ping('10.0.0.2:7300');
 *
 * @public
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const services = new Map<string, PeerServiceClient>();
  const cachedLists = new Map<string, CachedList>();
  if (options.tls) checkKeys(options.tls);
  let callCredentials = createCallCredentials(options.tls);
  const { deadlineMilliseconds } = options;

  function getService(address: string): PeerServiceClient {
    const existing = services.get(address);
    if (existing) return existing;
    const service = new PeerServiceClient(address, callCredentials, CHANNEL_OPTIONS);
    services.set(address, service);
    return service;
  }

  function closeAddress(address: string): void {
    services.get(address)?.close();
    services.delete(address);
    cachedLists.delete(address);
  }

  async function announceConfiguration(
    address: string,
    configurationObject: ConfigurationObject,
  ): Promise<number> {
    const service = getService(address);
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
    const service = getService(address);
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

  /** Sends the digest of the cached list; the peer omits the list if it has not changed. */
  async function fetchInstances(address: string): Promise<PeerInstances> {
    const service = getService(address);
    const cached = cachedLists.get(address);
    const { instancesJson, ageMilliseconds, digest } = await callPeer({
      method: service.fetchInstances.bind(service),
      request: { knownDigest: cached?.digest ?? '' },
      deadlineMilliseconds,
    });
    const isUnchanged = cached !== undefined && cached.digest === digest;
    const instances = isUnchanged ? cached.instances : parseInstances(instancesJson);
    cachedLists.set(address, { digest, instances });
    return { instances, ageMilliseconds: decodeAge(ageMilliseconds) };
  }

  async function announcePrimary(address: string, published: PublishedPrimary): Promise<void> {
    const service = getService(address);
    const method = service.announcePrimary.bind(service);
    await callPeer({ method, request: published, deadlineMilliseconds });
  }

  async function announceLeaving(address: string, instance: string): Promise<void> {
    const service = getService(address);
    const method = service.announceLeaving.bind(service);
    await callPeer({ method, request: { instance }, deadlineMilliseconds });
  }

  async function ping(address: string): Promise<PeerStatus> {
    const service = getService(address);
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
  throw new PeerAnswerError('the list of instances does not match the schema', {
    cause: result.error,
  });
}

function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new PeerAnswerError('the answer is not valid JSON', { cause: error });
  }
}
