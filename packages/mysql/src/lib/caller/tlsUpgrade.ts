import { TLSSocket, createSecureContext, type SecureContext } from 'node:tls';
import type { DriverConnection } from '../driverConnection';
import { HEADER_BYTES, capability } from '../protocol/constants';
import { hasFlag } from '../protocol/okPacket';

/** Keys of the listener for callers. @public */
export interface CallerTls {
  certificate: Buffer;
  key: Buffer;
  /** Must have signed the certificates of callers; without it callers need none. */
  authority?: Buffer | undefined;
}

/** @internal */
export interface TlsKeys {
  context: SecureContext;
  asksForCertificate: boolean;
}

/**
 * Reads the keys of a listener.
 *
 * @throws Error of the TLS library where they cannot be used.
 * @internal
 */
export function toTlsKeys({ certificate, key, authority }: CallerTls): TlsKeys {
  const context = createSecureContext({ cert: certificate, key, ca: authority });
  return { context, asksForCertificate: authority !== undefined };
}

/** Bytes of the request for TLS: a login that is cut off before the name. */
const REQUEST_PAYLOAD_BYTES = 32;
const REQUEST_BYTES = HEADER_BYTES + REQUEST_PAYLOAD_BYTES;

/**
 * Lets a connection go over to TLS before its login.
 *
 * A client that wants it sends the request and, without waiting, the first bytes of the TLS handshake.
 * The driver's parser would take those for packets, so the bytes are held back from it until it is
 * known which of the two the client does.
 *
 * @internal
 */
export function acceptTls(driver: DriverConnection, keys: TlsKeys): void {
  const { packetParser, stream } = driver;
  let received = Buffer.alloc(0);

  const upgrade = (): void => {
    stream.removeAllListeners('data');
    stream.pause();
    if (received.length > REQUEST_BYTES) stream.unshift(received.subarray(REQUEST_BYTES));
    const socket = new TLSSocket(stream, {
      isServer: true,
      secureContext: keys.context,
      requestCert: keys.asksForCertificate,
      rejectUnauthorized: keys.asksForCertificate,
    });
    // A handshake that fails closes this connection alone.
    socket.on('error', () => stream.destroy());
    Object.assign(driver, { packetParser, stream: socket, sequenceId: driver.sequenceId + 1 });
    socket.on('data', (chunk: Buffer) => driver.packetParser.execute(chunk));
  };

  const execute = (chunk: Buffer): void => {
    received = Buffer.concat([received, chunk]);
    if (received.length < REQUEST_BYTES && !isLongerLogin(received)) return;
    if (isTlsRequest(received)) {
      upgrade();
      return;
    }
    Object.assign(driver, { packetParser });
    packetParser.execute(received);
  };
  Object.assign(driver, { packetParser: { execute } });
}

/** Whether the header already tells that this is no request for TLS. */
function isLongerLogin(received: Buffer): boolean {
  return received.length >= HEADER_BYTES && received.readUIntLE(0, 3) !== REQUEST_PAYLOAD_BYTES;
}

function isTlsRequest(received: Buffer): boolean {
  if (received.length < REQUEST_BYTES || received.readUIntLE(0, 3) !== REQUEST_PAYLOAD_BYTES) {
    return false;
  }
  return received[3] === 1 && hasFlag(received.readUInt32LE(HEADER_BYTES), capability.tls);
}
