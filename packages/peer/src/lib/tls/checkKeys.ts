import { createSecureContext } from 'node:tls';
import { PeerError } from '../errors/peerError';
import type { PeerTls } from '../peerMessages';

/**
 * Validates keys. A server with invalid keys drops every connection, for example when only one of the
 * two files has been replaced yet.
 *
 * @throws PeerError
 */
export function checkKeys({ certificate, key, authority }: PeerTls): void {
  try {
    createSecureContext({ cert: certificate, key, ca: authority });
  } catch (error) {
    throw new PeerError(`the keys cannot be used: ${(error as Error).message}`, { cause: error });
  }
}
