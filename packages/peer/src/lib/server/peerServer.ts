import { Server } from '@grpc/grpc-js';
import { PeerServiceService } from '../../generated/wisterialift/peer/v1/peer';
import { PeerError } from '../errors/peerError';
import { MESSAGE_LIMIT_BYTES } from '../peerMessages';
import type { PeerHandlers, PeerTls } from '../peerMessages';
import { checkKeys } from '../tls/checkKeys';
import { createListenerCredentials } from '../tls/peerCredentials';
import { createReplaceableKeys } from '../tls/replaceableKeys';
import { createPeerService } from './peerService';

/** @public */
export interface PeerServerOptions {
  host: string;
  /** 0 for any free port. */
  port: number;
  handlers: PeerHandlers;
  /** Mutual TLS; anyone who reaches the port may call without it. */
  tls?: PeerTls;
}

/** @public */
export interface PeerServer {
  /** @returns the port that it listens on. @throws PeerError */
  start: () => Promise<number>;
  /**
   * Uses other keys for connections from now on, as when the files of the keys have changed.
   *
   * @throws PeerError where they cannot be used, or the listener was created without keys; it then
   *   goes on with the keys that it has.
   */
  replaceKeys: (tls: PeerTls) => void;
  /** Refuses new calls and lets those in flight end, for a second at most. */
  stop: () => Promise<void>;
}

/** Calls between instances are short; whatever lasts longer than this is stuck. */
const STOP_MILLISECONDS = 1_000;

/**
 * Creates the listener for calls of other instances.
 *
 * @throws PeerError where the keys cannot be used.
 * @public
 */
export function createPeerServer(options: PeerServerOptions): PeerServer {
  const { host, port, handlers, tls } = options;
  if (tls) checkKeys(tls);
  const keys = tls && createReplaceableKeys(tls);
  const server = new Server({
    'grpc.max_receive_message_length': MESSAGE_LIMIT_BYTES,
    'grpc.max_send_message_length': MESSAGE_LIMIT_BYTES,
  });
  server.addService(PeerServiceService, createPeerService(handlers));

  function start(): Promise<number> {
    return new Promise((resolve, reject) => {
      const listener = createListenerCredentials(keys);
      server.bindAsync(`${host}:${port}`, listener, (error, boundPort) => {
        if (error) reject(new PeerError(`cannot listen on ${host}:${port}`, { cause: error }));
        else resolve(boundPort);
      });
    });
  }

  function replaceKeys(next: PeerTls): void {
    if (!keys) throw new PeerError('a listener without keys cannot change to TLS');
    checkKeys(next);
    keys.replace(next);
  }

  function stop(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => server.forceShutdown(), STOP_MILLISECONDS);
      server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  return { start, replaceKeys, stop };
}
