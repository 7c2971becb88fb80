import { credentials } from '@grpc/grpc-js';
import { RelayServiceClient } from '../../generated/wisterialift/peer/v1/relay';
import type { RelayStream, RelayStreamEvents } from './relayStream';

/** Opens streams to other instances. @public */
export interface RelayClient {
  /** @param address - `host:port` of the other instance. */
  open: (address: string, events: RelayStreamEvents) => RelayStream;
}

/**
 * A connection that fails is not repeated by the library: whoever opened the stream places the
 * statements elsewhere meanwhile and opens another.
 */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
};

/** @public */
export function createRelayClient(): RelayClient {
  return {
    open: (address, { onResponse, onLost }) => {
      const client = new RelayServiceClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
      const stream = client.relay();
      let isOver = false;

      function finish(error?: Error): void {
        if (isOver) return;
        isOver = true;
        client.close();
        if (error) onLost(error);
      }

      stream.on('data', (response) => {
        if (!isOver) onResponse(response);
      });
      stream.on('error', (error: Error) => finish(error));
      stream.on('end', () => finish(new Error('the other instance ended the stream')));

      return {
        send: (request) => {
          if (!isOver) stream.write(request);
        },
        close: () => {
          finish();
          stream.cancel();
        },
      };
    },
  };
}
