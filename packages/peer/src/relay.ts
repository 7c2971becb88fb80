export {
  type RelayAnswer,
  type RelayCommit,
  type RelayPosition,
  type RelayRequest,
  type RelayResponse,
  type RelayRoute,
  type RelayStatement,
} from './generated/wisterialift/peer/v1/relay';
export { createRelayClient, type RelayClient } from './lib/relay/relayClient';
export {
  createRelayServer,
  type RelayServer,
  type RelayServerOptions,
} from './lib/relay/relayServer';
export {
  type RelayAcceptor,
  type RelayStream,
  type RelayStreamEvents,
} from './lib/relay/relayStream';
