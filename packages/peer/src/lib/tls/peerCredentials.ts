import { ServerCredentials, credentials, experimental } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type { PeerTls } from '../peerMessages';
import type { ReplaceableKeys } from './replaceableKeys';

/** Credentials of calls: mutual TLS, or none where no keys are set. */
export function createCallCredentials(tls: PeerTls | undefined): ChannelCredentials {
  if (!tls) return credentials.createInsecure();
  return credentials.createSsl(tls.authority, tls.key, tls.certificate);
}

/**
 * Credentials of a listener, which demands a certificate of whoever calls. Keys that are replaced hold
 * for connections from then on; those that are open go on.
 */
export function createListenerCredentials(keys: ReplaceableKeys | undefined): ServerCredentials {
  if (!keys) return ServerCredentials.createInsecure();
  return experimental.createCertificateProviderServerCredentials(keys, keys, true);
}
