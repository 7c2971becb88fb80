import { createServer as createTcpServer, type Server, type Socket } from 'node:net';
import { createConnection, type ConnectionOptions } from 'mysql2';
import type { DriverConnection, DriverLogin, DriverPacket } from '../driverConnection';
import { UTF8MB4_COLLATION, capability, serverStatus } from '../protocol/constants';
import type { SqlError } from '../protocol/errorPacket';
import { toFrames } from '../protocol/frames';
import { EMPTY_OK, encodeOk, hasFlag } from '../protocol/okPacket';
import { createCallerConnection, endConnection, type CallerConnection } from './callerConnection';
import { createPacketLimit } from './packetLimit';
import type { PasswordProof } from './passwordCheck';
import { acceptTls, toTlsKeys, type CallerTls, type TlsKeys } from './tlsUpgrade';

/** Who wants to connect. @public */
export interface CallerLogin {
  caller: string;
  /** Database name of the connection; undefined where the caller gave none. */
  group: string | undefined;
  proof: PasswordProof;
}

/** @public */
export interface CallerListenerOptions {
  host: string;
  /** 0 for any free port. */
  port: number;
  /** Largest packet of a caller in bytes. */
  maximumPacketBytes: number;
  /** Time that a client has to log in, in milliseconds. */
  loginTimeoutMilliseconds?: number;
  /** Offers TLS with these keys. */
  tls?: CallerTls | undefined;
  /** @returns the error that refuses the login, or undefined. */
  authenticate: (login: CallerLogin) => SqlError | undefined;
  onConnection: (connection: CallerConnection, login: CallerLogin) => void;
}

/** @public */
export interface ListenerAddress {
  host: string;
  port: number;
}

/** Accepts connections of callers. @public */
export interface CallerListener {
  listen: () => Promise<ListenerAddress>;
  /**
   * Takes other keys for the connections to come.
   *
   * @throws Error of the TLS library where the keys cannot be used; the present ones stay.
   */
  useTls: (tls: CallerTls) => void;
  /** Accepts no more connections; those that are open stay. */
  stopAccepting: () => void;
}

const SERVER_VERSION = '8.0.0-wisterialift';
const LARGEST_LOGIN_BYTES = 65_536;
const DEFAULT_LOGIN_TIMEOUT_MILLISECONDS = 10_000;
const SCRAMBLE_BYTES = 20;

/**
 * Capabilities that both sides of the proxy agree on, so that packets pass through unchanged.
 *
 * Without DEPRECATE_EOF a result set has the same form towards callers and from databases. Left out
 * are compression, LOCAL INFILE, several statements at once and query attributes.
 */
const CAPABILITIES =
  Object.values(capability).reduce((sum, flag) => sum + flag, 0) - capability.tls;

/**
 * Creates the listener for callers.
 *
 * @example
 * const listener = createCallerListener({ host: '127.0.0.1', port: 0, ... });
 * const { port } = await listener.listen();
 * @public
 */
export function createCallerListener(options: CallerListenerOptions): CallerListener {
  let lastId = 0;
  let tlsKeys = options.tls && toTlsKeys(options.tls);
  const server = createTcpServer({ noDelay: true }, (socket) => {
    lastId += 1;
    acceptConnection({ socket, id: lastId, tlsKeys, options });
  });
  return {
    listen: () => listen(server, options),
    useTls: (tls) => {
      tlsKeys = toTlsKeys(tls);
    },
    stopAccepting: () => {
      server.close();
    },
  };
}

function listen(server: Server, { host, port }: CallerListenerOptions): Promise<ListenerAddress> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const address = server.address();
      if (address === null || typeof address === 'string') {
        reject(new Error('the listener has no TCP address'));
        return;
      }
      resolve({ host: address.address, port: address.port });
    });
  });
}

/**
 * The driver sets memory aside for each entry of its cache of prepared statements, half a megabyte a
 * connection by default. Callers' statements are kept by the caller task, so the least will do.
 */
const DRIVER_CACHE_ENTRIES = 1;

interface AcceptedConnection {
  socket: Socket;
  id: number;
  tlsKeys: TlsKeys | undefined;
  options: CallerListenerOptions;
}

function acceptConnection({ socket, id, tlsKeys, options }: AcceptedConnection): void {
  const driverOptions: ConnectionOptions = {
    stream: socket,
    isServer: true,
    maxPreparedStatements: DRIVER_CACHE_ENTRIES,
  };
  const driver = createConnection(driverOptions) as unknown as DriverConnection;
  // A connection that breaks is told by the close of its socket.
  driver.on('error', () => socket.destroy());
  const loginTimer = setTimeout(
    () => socket.destroy(),
    options.loginTimeoutMilliseconds ?? DEFAULT_LOGIN_TIMEOUT_MILLISECONDS,
  );
  socket.once('close', () => clearTimeout(loginTimer));

  let largestPacketBytes = LARGEST_LOGIN_BYTES;
  limitPackets(driver, () => largestPacketBytes);
  if (tlsKeys) acceptTls(driver, tlsKeys);
  refuseWrongSequence(driver);

  driver.serverHandshake({
    protocolVersion: 10,
    serverVersion: SERVER_VERSION,
    connectionId: id,
    statusFlags: serverStatus.autocommit,
    characterSet: UTF8MB4_COLLATION,
    capabilityFlags: CAPABILITIES + (tlsKeys ? capability.tls : 0),
    authCallback: (driverLogin) => {
      clearTimeout(loginTimer);
      const login = toLogin(driverLogin);
      const refusal = options.authenticate(login);
      if (refusal) {
        endConnection(driver, refusal, driver.sequenceId);
        return;
      }
      largestPacketBytes = options.maximumPacketBytes;
      const flags = driver.clientHelloReply?.clientFlags ?? 0;
      const canTrackSession = hasFlag(flags, capability.sessionTrack);
      driver.stream.write(toFrames(encodeOk({ ok: EMPTY_OK, canTrackSession }), driver.sequenceId));
      options.onConnection(createCallerConnection({ id, driver, canTrackSession }), login);
    },
  });
}

/** Closes this connection alone, before its packet is kept, when a header announces too much. */
function limitPackets(driver: DriverConnection, maximumBytes: () => number): void {
  const limit = createPacketLimit(maximumBytes);
  const { packetParser } = driver;
  const execute = (chunk: Buffer): void => {
    if (limit.accepts(chunk)) {
      packetParser.execute(chunk);
      return;
    }
    const message = `Got a packet bigger than ${maximumBytes()} bytes`;
    endConnection(driver, { code: 1153, state: '08S01', message }, 1);
  };
  Object.assign(driver, { packetParser: { execute } });
}

/** The driver prints a line for each packet out of order and goes on; here it ends the connection. */
function refuseWrongSequence(driver: DriverConnection): void {
  const handleNext = driver.handlePacket.bind(driver);
  const handlePacket = (packet?: DriverPacket): void => {
    if (packet && packet.sequenceId !== driver.sequenceId) driver.stream.destroy();
    else handleNext(packet);
  };
  Object.assign(driver, { handlePacket });
}

function toLogin({
  user,
  database,
  authPluginData1,
  authPluginData2,
  authToken,
}: DriverLogin): CallerLogin {
  const scramble = Buffer.concat([authPluginData1, authPluginData2]).subarray(0, SCRAMBLE_BYTES);
  const answer = typeof authToken === 'string' ? Buffer.from(authToken, 'latin1') : authToken;
  return { caller: user, group: database || undefined, proof: { scramble, answer } };
}
