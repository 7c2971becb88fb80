import { ServerCredentials, credentials, experimental } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type { PeerTls } from '../peerMessages';
import type { ReplaceableCertificateProvider } from './certificateProvider';

/** Creates client credentials: mutual TLS, or insecure without keys. */
export function createCallCredentials(tls: PeerTls | undefined): ChannelCredentials {
  if (!tls) return credentials.createInsecure();
  return credentials.createSsl(tls.authority, tls.key, tls.certificate);
}

/** Creates server credentials; clients need a certificate, and new keys apply to new connections. */
export function createServerCredentials(
  keys: ReplaceableCertificateProvider | undefined,
): ServerCredentials {
  if (!keys) return ServerCredentials.createInsecure();
  return experimental.createCertificateProviderServerCredentials(keys, keys, true);
}
