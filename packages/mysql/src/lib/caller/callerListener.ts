import { createServer as createTcpServer, type Server, type Socket } from 'node:net';
import { createConnection, type ConnectionOptions } from 'mysql2';
import type { DriverConnection, DriverLogin, DriverPacket } from '../driverConnection';
import { UTF8MB4_COLLATION, capability, serverStatus } from '../protocol/constants';
import type { SqlError } from '../protocol/errorPacket';
import { toFrames } from '../protocol/frames';
import { EMPTY_OK, encodeOk, hasFlag } from '../protocol/okPacket';
import { createCallerConnection, closeGracefully, type CallerConnection } from './callerConnection';
import { createPacketSizeLimiter } from './packetSizeLimiter';
import type { ChallengeResponse } from './passwordCheck';
import { enableTlsUpgrade, createTlsContext, type CallerTls, type TlsContext } from './tlsUpgrade';

/** Login request of a caller. @public */
export interface CallerLogin {
  caller: string;
  /** Database name in the login request; undefined if it has none. */
  group: string | undefined;
  proof: ChallengeResponse;
}

/** @public */
export interface CallerListenerOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Largest accepted packet after login, in bytes. */
  maximumPacketBytes: number;
  /** Time limit for the login, in milliseconds. */
  loginTimeoutMilliseconds?: number;
  /** Enables TLS with these keys. */
  tls?: CallerTls | undefined;
  /** @returns the error with which the login is rejected, or undefined to accept it. */
  authenticate: (login: CallerLogin) => SqlError | undefined;
  onConnection: (connection: CallerConnection, login: CallerLogin) => void;
}

/** @public */
export interface ListenerAddress {
  host: string;
  port: number;
}

/** Accepts caller connections. @public */
export interface CallerListener {
  listen: () => Promise<ListenerAddress>;
  /**
   * Replaces the TLS keys for new connections.
   *
   * @throws the TLS library's Error if the keys are invalid; the previous keys stay in use.
   */
  useTls: (tls: CallerTls) => void;
  /** Stops accepting connections; open ones are kept. */
  stopAccepting: () => void;
}

const SERVER_VERSION = '8.0.0-wisterialift';
const MAXIMUM_LOGIN_BYTES = 65_536;
const DEFAULT_LOGIN_TIMEOUT_MILLISECONDS = 10_000;
const SCRAMBLE_BYTES = 20;

/**
 * Capabilities offered to callers; together with DRIVER_FLAGS of the upstream connection, they keep
 * the packet format the same on both sides.
 *
 * DEPRECATE_EOF is excluded so that result sets have the same format on both sides. Compression,
 * LOCAL INFILE, multiple statements and query attributes are not supported.
 */
const CAPABILITIES =
  Object.values(capability).reduce((sum, flag) => sum + flag, 0) - capability.tls;

/**
 * Creates the listener for caller connections.
 *
 * @example
 * const listener = createCallerListener({ host: '127.0.0.1', port: 0, ... });
 * const { port } = await listener.listen();
 * @public
 */
export function createCallerListener(options: CallerListenerOptions): CallerListener {
  let lastConnectionId = 0;
  let tlsContext = options.tls && createTlsContext(options.tls);
  const server = createTcpServer({ noDelay: true }, (socket) => {
    lastConnectionId += 1;
    acceptConnection({ socket, id: lastConnectionId, tlsContext, options });
  });
  return {
    listen: () => listen(server, options),
    useTls: (tls) => {
      tlsContext = createTlsContext(tls);
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

/** The driver's statement cache is unused, and its default size takes 0.5 MB a connection. */
const DRIVER_STATEMENT_CACHE_ENTRIES = 1;

interface AcceptedConnection {
  socket: Socket;
  id: number;
  tlsContext: TlsContext | undefined;
  options: CallerListenerOptions;
}

function acceptConnection({ socket, id, tlsContext, options }: AcceptedConnection): void {
  const driverOptions: ConnectionOptions = {
    stream: socket,
    isServer: true,
    maxPreparedStatements: DRIVER_STATEMENT_CACHE_ENTRIES,
  };
  const driver = createConnection(driverOptions) as unknown as DriverConnection;
  // Errors are reported through the close event of the socket.
  driver.on('error', () => socket.destroy());
  const loginTimer = setTimeout(
    () => socket.destroy(),
    options.loginTimeoutMilliseconds ?? DEFAULT_LOGIN_TIMEOUT_MILLISECONDS,
  );
  socket.once('close', () => clearTimeout(loginTimer));

  let packetLimitBytes = MAXIMUM_LOGIN_BYTES;
  limitPacketSize(driver, () => packetLimitBytes);
  if (tlsContext) enableTlsUpgrade(driver, tlsContext);
  closeOnSequenceMismatch(driver);

  driver.serverHandshake({
    protocolVersion: 10,
    serverVersion: SERVER_VERSION,
    connectionId: id,
    statusFlags: serverStatus.autocommit,
    characterSet: UTF8MB4_COLLATION,
    capabilityFlags: CAPABILITIES + (tlsContext ? capability.tls : 0),
    authCallback: (driverLogin) => {
      clearTimeout(loginTimer);
      const login = toLogin(driverLogin);
      const loginError = options.authenticate(login);
      if (loginError) {
        closeGracefully(driver, loginError, driver.sequenceId);
        return;
      }
      packetLimitBytes = options.maximumPacketBytes;
      const flags = driver.clientHelloReply?.clientFlags ?? 0;
      const canTrackSession = hasFlag(flags, capability.sessionTrack);
      driver.stream.write(toFrames(encodeOk({ ok: EMPTY_OK, canTrackSession }), driver.sequenceId));
      options.onConnection(createCallerConnection({ id, driver, canTrackSession }), login);
    },
  });
}

/** Closes the connection if a header announces too large a packet, before it is buffered. */
function limitPacketSize(driver: DriverConnection, getMaximumBytes: () => number): void {
  const limiter = createPacketSizeLimiter(getMaximumBytes);
  const { packetParser } = driver;
  const execute = (chunk: Buffer): void => {
    if (limiter.isWithinLimit(chunk)) {
      packetParser.execute(chunk);
      return;
    }
    const message = `Got a packet bigger than ${getMaximumBytes()} bytes`;
    closeGracefully(driver, { code: 1153, state: '08S01', message }, 1);
  };
  Object.assign(driver, { packetParser: { execute } });
}

/** Closes the connection on a packet out of order during login; the driver would only warn. */
function closeOnSequenceMismatch(driver: DriverConnection): void {
  const forwardPacket = driver.handlePacket.bind(driver);
  const handlePacket = (packet?: DriverPacket): void => {
    if (packet && packet.sequenceId !== driver.sequenceId) driver.stream.destroy();
    else forwardPacket(packet);
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
  const response = typeof authToken === 'string' ? Buffer.from(authToken, 'latin1') : authToken;
  return { caller: user, group: database || undefined, proof: { scramble, response } };
}
