import { Server } from '@grpc/grpc-js';
import { PeerServiceService } from '../../generated/wisterialift/peer/v1/peer';
import { PeerError } from '../errors/peerError';
import { MESSAGE_LIMIT_BYTES } from '../peerMessages';
import type { PeerHandlers, PeerTls } from '../peerMessages';
import { checkKeys } from '../tls/checkKeys';
import { createServerCredentials } from '../tls/peerCredentials';
import { createCertificateProvider } from '../tls/certificateProvider';
import { createPeerService } from './peerService';

/** @public */
export interface PeerServerOptions {
  host: string;
  /** 0 for any free port. */
  port: number;
  handlers: PeerHandlers;
  /** Mutual TLS; without it, clients are not authenticated. */
  tls?: PeerTls;
}

/** @public */
export interface PeerServer {
  /** @returns the listening port. @throws PeerError */
  start: () => Promise<number>;
  /**
   * Uses other keys for new connections.
   *
   * @throws PeerError if they are invalid, which keeps the current keys, or if the server was created
   *   without TLS.
   */
  replaceKeys: (tls: PeerTls) => void;
  /** Rejects new calls and waits up to a second for pending ones. */
  stop: () => Promise<void>;
}

/** Calls between instances are short; a longer one is stuck. */
const STOP_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Creates the server for calls of other instances.
 *
 * @throws PeerError if the keys are invalid.
 * @public
 */
export function createPeerServer(options: PeerServerOptions): PeerServer {
  const { host, port, handlers, tls } = options;
  if (tls) checkKeys(tls);
  const keys = tls && createCertificateProvider(tls);
  const server = new Server({
    'grpc.max_receive_message_length': MESSAGE_LIMIT_BYTES,
    'grpc.max_send_message_length': MESSAGE_LIMIT_BYTES,
  });
  server.addService(PeerServiceService, createPeerService(handlers));

  function start(): Promise<number> {
    return new Promise((resolve, reject) => {
      const serverCredentials = createServerCredentials(keys);
      server.bindAsync(`${host}:${port}`, serverCredentials, (error, boundPort) => {
        if (error) reject(new PeerError(`cannot listen on ${host}:${port}`, { cause: error }));
        else resolve(boundPort);
      });
    });
  }

  function replaceKeys(next: PeerTls): void {
    if (!keys) throw new PeerError('cannot replace the keys of a server without TLS');
    checkKeys(next);
    keys.replace(next);
  }

  function stop(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => server.forceShutdown(), STOP_TIMEOUT_MILLISECONDS);
      server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  return { start, replaceKeys, stop };
}
