import type { experimental } from '@grpc/grpc-js';
import type { PeerTls } from '../peerMessages';

/** Certificate provider of a server whose keys can be replaced at runtime. */
export interface ReplaceableCertificateProvider extends experimental.CertificateProvider {
  replace: (tls: PeerTls) => void;
}

/**
 * Creates a certificate provider that notifies listeners of replaced keys.
 *
 * A new listener is notified in a microtask: grpc-js ignores calls made while it adds the listener, and
 * a server without its first keys drops every connection.
 */
export function createCertificateProvider(tls: PeerTls): ReplaceableCertificateProvider {
  const authorityListeners = new Set<experimental.CaCertificateUpdateListener>();
  const identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
  let current = tls;

  function notifyAuthorityListener(listener: experimental.CaCertificateUpdateListener): void {
    listener({ caCertificate: current.authority });
  }

  function notifyIdentityListener(listener: experimental.IdentityCertificateUpdateListener): void {
    listener({ certificate: current.certificate, privateKey: current.key });
  }

  return {
    replace: (next) => {
      current = next;
      authorityListeners.forEach(notifyAuthorityListener);
      identityListeners.forEach(notifyIdentityListener);
    },
    addCaCertificateListener: (listener) => {
      authorityListeners.add(listener);
      queueMicrotask(() => notifyAuthorityListener(listener));
    },
    removeCaCertificateListener: (listener) => authorityListeners.delete(listener),
    addIdentityCertificateListener: (listener) => {
      identityListeners.add(listener);
      queueMicrotask(() => notifyIdentityListener(listener));
    },
    removeIdentityCertificateListener: (listener) => identityListeners.delete(listener),
  };
}
