import type { Engine } from '../engine/createEngine';
import type { Faults } from '../faults/createFaults';
import type { Member } from '../group/createMember';
import type { LogServer } from '../replication/createLogServer';
import { REPLICATION_USER } from '../replication/createReplication';
import type { Session } from '../session/createSession';
import type { StatementCounters } from '../session/createStatementCounters';
import type { Slots } from '../session/createSlots';
import { serveConnection } from './serveConnection';
import { isPasswordRight } from './isPasswordRight';
import { SERVED_CAPABILITIES, errorPayload, frame, okPayload } from './packets';
import type { Credentials, ServerConnection } from './serverConnection';

/** What accepts connections. */
export interface Listener {
  onConnection: (connection: ServerConnection) => void;
  /** Open connections of callers; replication links are not counted. */
  countConnections: () => number;
  closeAll: () => void;
}

/** What the listener needs. */
export interface ListenerOptions {
  user: string;
  password: string;
  connectionLimit: number;
  connectMilliseconds: number;
  faults: Faults;
  createSession: () => Session;
  engine: Engine;
  member: Member;
  slots: Slots;
  logServer: LogServer;
  counters: StatementCounters;
}

const UTF8_CHARACTER_SET = 45;
const STATUS_AUTOCOMMIT = 2;
/** Sequence number of the answer to the credentials: greeting 0, credentials 1. */
const ANSWER_SEQUENCE = 2;

/** Creates what greets, authenticates and limits connections. */
export function createListener(options: ListenerOptions): Listener {
  const { faults, member, engine, slots, logServer, counters } = options;
  const open = new Set<ServerConnection>();
  const counted = new Set<ServerConnection>();
  let lastId = 0;

  function refusalOf(credentials: Credentials): Buffer | undefined {
    const isKnown = credentials.user === options.user || credentials.user === REPLICATION_USER;
    if (!isKnown || !isPasswordRight(credentials, options.password)) {
      return errorPayload(1045, '28000', `Access denied for user '${credentials.user}'`);
    }
    const isCounted = credentials.user !== REPLICATION_USER;
    if (isCounted && counted.size >= options.connectionLimit) {
      return errorPayload(1040, '08004', 'Too many connections');
    }
    return undefined;
  }

  function onCredentials(connection: ServerConnection, credentials: Credentials): void {
    const { stream } = connection;
    const refusal = refusalOf(credentials);
    if (refusal) {
      stream.end(frame(refusal, ANSWER_SEQUENCE).bytes);
      return;
    }
    if (credentials.user !== REPLICATION_USER) counted.add(connection);
    const session = options.createSession();
    serveConnection({ connection, session, engine, member, faults, slots, logServer, counters });
    stream.write(frame(okPayload(), ANSWER_SEQUENCE).bytes);
  }

  async function greet(connection: ServerConnection): Promise<void> {
    await pause(options.connectMilliseconds);
    await faults.whenThawed();
    if (connection.stream.destroyed) return;
    lastId += 1;
    connection.serverHandshake({
      protocolVersion: 10,
      serverVersion: '8.0.0-stand-in',
      connectionId: lastId,
      statusFlags: STATUS_AUTOCOMMIT,
      characterSet: UTF8_CHARACTER_SET,
      capabilityFlags: SERVED_CAPABILITIES,
      authCallback: (credentials) => onCredentials(connection, credentials),
    });
  }

  return {
    onConnection: (connection) => {
      const { stream } = connection;
      // A connection that breaks off ends there; the event has no other receiver.
      connection.on('error', () => stream.destroy());
      if (faults.settings().refuseConnections) {
        stream.destroy();
        return;
      }
      stream.setNoDelay(true);
      open.add(connection);
      stream.once('close', () => {
        open.delete(connection);
        counted.delete(connection);
      });
      void greet(connection);
    },
    countConnections: () => counted.size,
    closeAll: () => open.forEach(({ stream }) => stream.destroy()),
  };
}

function pause(milliseconds: number): Promise<void> {
  if (milliseconds <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
