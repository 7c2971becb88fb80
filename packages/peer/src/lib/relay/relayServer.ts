import { Server, ServerCredentials } from '@grpc/grpc-js';
import { RelayServiceService } from '../../generated/wisterialift/peer/v1/relay';
import type { RelayServiceServer } from '../../generated/wisterialift/peer/v1/relay';
import { PeerError } from '../errors/peerError';
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
  /** @returns the port that it listens on. @throws PeerError */
  start: () => Promise<number>;
  /** Ends all streams at once. */
  stop: () => void;
}

/** Creates the listener for statements of other instances' callers. @public */
export function createRelayServer({ host, port, accept }: RelayServerOptions): RelayServer {
  const server = new Server();
  const service: RelayServiceServer = {
    relay: (stream) => {
      let isOver = false;
      const handlers = accept((response) => {
        if (!isOver) stream.write(response);
      });
      const finish = () => {
        if (isOver) return;
        isOver = true;
        handlers.onEnd();
        stream.end();
      };
      stream.on('data', handlers.onRequest);
      stream.on('end', finish);
      stream.on('cancelled', finish);
      stream.on('error', finish);
      stream.on('close', finish);
    },
  };
  server.addService(RelayServiceService, service);

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const listener = ServerCredentials.createInsecure();
        server.bindAsync(`${host}:${port}`, listener, (error, boundPort) => {
          if (error) reject(new PeerError(`cannot listen on ${host}:${port}`, { cause: error }));
          else resolve(boundPort);
        });
      }),
    stop: () => server.forceShutdown(),
  };
}
