import type { experimental } from '@grpc/grpc-js';
import type { PeerTls } from '../peerMessages';

/** Keys of a listener that can be replaced while it listens. */
export interface ReplaceableKeys extends experimental.CertificateProvider {
  replace: (tls: PeerTls) => void;
}

/**
 * Keeps the keys and tells each change to those who listen for it.
 *
 * A new listener is told in a microtask: grpc-js begins to heed its own listener only after it has
 * added it, and a server that missed the first keys drops every connection.
 */
export function createReplaceableKeys(tls: PeerTls): ReplaceableKeys {
  const authorityListeners = new Set<experimental.CaCertificateUpdateListener>();
  const identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
  let current = tls;

  function tellAuthority(listener: experimental.CaCertificateUpdateListener): void {
    listener({ caCertificate: current.authority });
  }

  function tellIdentity(listener: experimental.IdentityCertificateUpdateListener): void {
    listener({ certificate: current.certificate, privateKey: current.key });
  }

  return {
    replace: (next) => {
      current = next;
      authorityListeners.forEach(tellAuthority);
      identityListeners.forEach(tellIdentity);
    },
    addCaCertificateListener: (listener) => {
      authorityListeners.add(listener);
      queueMicrotask(() => tellAuthority(listener));
    },
    removeCaCertificateListener: (listener) => authorityListeners.delete(listener),
    addIdentityCertificateListener: (listener) => {
      identityListeners.add(listener);
      queueMicrotask(() => tellIdentity(listener));
    },
    removeIdentityCertificateListener: (listener) => identityListeners.delete(listener),
  };
}
