export { createPeerClient, type PeerClient, type PeerClientOptions } from './lib/client/peerClient';
export { PeerAnswerError } from './lib/errors/peerAnswerError';
export { PeerError } from './lib/errors/peerError';
export { PeerUnavailableError } from './lib/errors/peerUnavailableError';
export {
  NO_CONFIGURATION_NUMBER,
  type HeldConfiguration,
  type PeerConfiguration,
  type PeerHandlers,
  type PeerInstances,
  type PeerStatus,
  type PeerTls,
  type PublishedPrimary,
} from './lib/peerMessages';
export { createPeerServer, type PeerServer, type PeerServerOptions } from './lib/server/peerServer';
