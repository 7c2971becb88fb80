import { Server, ServerCredentials } from '@grpc/grpc-js';
import { RelayServiceService } from '../../generated/wisterialift/peer/v1/relay';
import type { RelayServiceServer } from '../../generated/wisterialift/peer/v1/relay';
import { PeerError } from '../errors/peerError';
import { UNLIMITED_MESSAGE_SIZE } from './messageSize';
import type { RelayAcceptor } from './relayStream';

/** @public */
export interface RelayServerOptions {
  host: string;
  /** 0 for any free port. */
  port: number;
  accept: RelayAcceptor;
}

/** @public */
export interface RelayServer {
  /** @returns the listening port. @throws PeerError */
  start: () => Promise<number>;
  /** Whether responses have not been handed to the network yet. */
  hasUnsentData: () => boolean;
  /** Ends all streams immediately. */
  stop: () => void;
}

/** Creates the server for statements that other instances relay. @public */
export function createRelayServer({ host, port, accept }: RelayServerOptions): RelayServer {
  const server = new Server(UNLIMITED_MESSAGE_SIZE);
  let unsentResponses = 0;

  /** Is also called, with an error, for a response whose stream has ended. */
  function onSent(): void {
    unsentResponses -= 1;
  }

  const service: RelayServiceServer = {
    relay: (stream) => {
      let isEnded = false;
      const handlers = accept((response) => {
        if (isEnded) return;
        unsentResponses += 1;
        stream.write(response, onSent);
      });
      const end = () => {
        if (isEnded) return;
        isEnded = true;
        handlers.onEnd();
        stream.end();
      };
      stream.on('data', handlers.onRequest);
      stream.on('end', end);
      stream.on('cancelled', end);
      stream.on('error', end);
      stream.on('close', end);
    },
  };
  server.addService(RelayServiceService, service);

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const serverCredentials = ServerCredentials.createInsecure();
        server.bindAsync(`${host}:${port}`, serverCredentials, (error, boundPort) => {
          if (error) reject(new PeerError(`cannot listen on ${host}:${port}`, { cause: error }));
          else resolve(boundPort);
        });
      }),
    hasUnsentData: () => unsentResponses > 0,
    stop: () => server.forceShutdown(),
  };
}
