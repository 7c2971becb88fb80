import { TLSSocket, createSecureContext, type SecureContext } from 'node:tls';
import type { DriverConnection } from '../driverConnection';
import { HEADER_BYTES, capability } from '../protocol/constants';
import { hasFlag } from '../protocol/okPacket';

/** TLS keys of the caller listener, in PEM format. @public */
export interface CallerTls {
  certificate: Buffer;
  key: Buffer;
  /** CA that must have signed caller certificates; if unset, callers need no certificate. */
  authority?: Buffer | undefined;
}

/** @internal */
export interface TlsContext {
  context: SecureContext;
  isCertificateRequired: boolean;
}

/**
 * Creates the TLS context of a listener.
 *
 * @throws the TLS library's Error if the keys are invalid.
 * @internal
 */
export function createTlsContext({ certificate, key, authority }: CallerTls): TlsContext {
  const context = createSecureContext({ cert: certificate, key, ca: authority });
  return { context, isCertificateRequired: authority !== undefined };
}

/** An SSL request is a login packet that ends before the user name. */
const SSL_REQUEST_PAYLOAD_BYTES = 32;
const SSL_REQUEST_BYTES = HEADER_BYTES + SSL_REQUEST_PAYLOAD_BYTES;

/**
 * Allows a connection to be upgraded to TLS before login.
 *
 * A caller may send the TLS handshake right after the SSL request. The driver would parse those
 * bytes as packets, so data is buffered until the first packet is identified as a login or an SSL
 * request.
 *
 * @internal
 */
export function enableTlsUpgrade(driver: DriverConnection, tlsContext: TlsContext): void {
  const { packetParser, stream } = driver;
  let received = Buffer.alloc(0);

  const upgrade = (): void => {
    stream.removeAllListeners('data');
    stream.pause();
    if (received.length > SSL_REQUEST_BYTES) stream.unshift(received.subarray(SSL_REQUEST_BYTES));
    const socket = new TLSSocket(stream, {
      isServer: true,
      secureContext: tlsContext.context,
      requestCert: tlsContext.isCertificateRequired,
      rejectUnauthorized: tlsContext.isCertificateRequired,
    });
    // Without a handler, a failed handshake would end the process.
    socket.on('error', () => stream.destroy());
    Object.assign(driver, { packetParser, stream: socket, sequenceId: driver.sequenceId + 1 });
    socket.on('data', (chunk: Buffer) => driver.packetParser.execute(chunk));
  };

  const execute = (chunk: Buffer): void => {
    received = Buffer.concat([received, chunk]);
    if (received.length < SSL_REQUEST_BYTES && !isLoginHeader(received)) return;
    if (isSslRequest(received)) {
      upgrade();
      return;
    }
    Object.assign(driver, { packetParser });
    packetParser.execute(received);
  };
  Object.assign(driver, { packetParser: { execute } });
}

/** Whether the header is complete and its length differs from that of an SSL request. */
function isLoginHeader(received: Buffer): boolean {
  return received.length >= HEADER_BYTES && received.readUIntLE(0, 3) !== SSL_REQUEST_PAYLOAD_BYTES;
}

function isSslRequest(received: Buffer): boolean {
  if (
    received.length < SSL_REQUEST_BYTES ||
    received.readUIntLE(0, 3) !== SSL_REQUEST_PAYLOAD_BYTES
  ) {
    return false;
  }
  return received[3] === 1 && hasFlag(received.readUInt32LE(HEADER_BYTES), capability.tls);
}
