import { ServerCredentials, credentials } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type { PeerTls } from '../peerMessages';

/** Credentials of calls: mutual TLS, or none where no keys are set. */
export function createCallCredentials(tls: PeerTls | undefined): ChannelCredentials {
  if (!tls) return credentials.createInsecure();
  return credentials.createSsl(tls.authority, tls.key, tls.certificate);
}

/** Credentials of a listener, which demands a certificate of whoever calls. */
export function createListenerCredentials(tls: PeerTls | undefined): ServerCredentials {
  if (!tls) return ServerCredentials.createInsecure();
  const keyPair = { private_key: tls.key, cert_chain: tls.certificate };
  return ServerCredentials.createSsl(tls.authority, [keyPair], true);
}
