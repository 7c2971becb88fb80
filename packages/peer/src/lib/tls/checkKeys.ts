import { createSecureContext } from 'node:tls';
import { PeerError } from '../errors/peerError';
import type { PeerTls } from '../peerMessages';

/**
 * Checks that keys can be used. A listener that is given others drops every connection from then on,
 * as when one of two files was written and the other not yet.
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
