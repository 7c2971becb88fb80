import { credentials } from '@grpc/grpc-js';
import { RelayServiceClient } from '../../generated/wisterialift/peer/v1/relay';
import { UNLIMITED_MESSAGE_SIZE } from './messageSize';
import type { RelayStream, RelayStreamEvents } from './relayStream';

/** Opens streams to other instances. @public */
export interface RelayClient {
  /** @param address - `host:port` of the other instance. */
  open: (address: string, events: RelayStreamEvents) => RelayStream;
}

/** Disables retries in gRPC: whoever opened a failed stream reroutes statements and opens another. */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  ...UNLIMITED_MESSAGE_SIZE,
};

/** @public */
export function createRelayClient(): RelayClient {
  return {
    open: (address, { onResponse, onLost }) => {
      const client = new RelayServiceClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
      const stream = client.relay();
      let isEnded = false;

      function end(error?: Error): void {
        if (isEnded) return;
        isEnded = true;
        client.close();
        if (error) onLost(error);
      }

      stream.on('data', (response) => {
        if (!isEnded) onResponse(response);
      });
      stream.on('error', (error: Error) => end(error));
      stream.on('end', () => end(new Error('the other instance ended the stream')));

      return {
        send: (request) => {
          if (!isEnded) stream.write(request);
        },
        close: () => {
          end();
          stream.cancel();
        },
      };
    },
  };
}
