import { mkdirSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createControlServer } from './control/createControlServer';
import { createEngine } from './engine/createEngine';
import type { Engine } from './engine/createEngine';
import { loadSqlEngine } from './engine/loadSqlEngine';
import { createFaults } from './faults/createFaults';
import type { FaultSettings } from './faults/createFaults';
import { createMember } from './group/createMember';
import type { FollowedPrimary, Member } from './group/createMember';
import { createLog } from './log/createLog';
import { readServerUuid } from './log/readServerUuid';
import { createListener } from './protocol/createListener';
import { createServerConnection } from './protocol/serverConnection';
import { createLogServer } from './replication/createLogServer';
import { createReplication } from './replication/createReplication';
import { createSession } from './session/createSession';
import { createSlots } from './session/createSlots';
import { createStatementCounters } from './session/createStatementCounters';
import { createWriterLock } from './session/createWriterLock';

/** How a database is started. @public */
export interface StandInDatabaseOptions {
  name: string;
  host: string;
  /** 0 takes any free port. */
  port: number;
  controlPort: number;
  user: string;
  password: string;
  /** Statements that run at the same time. */
  slots: number;
  connectionLimit: number;
  /** Time until a new connection is greeted. */
  connectMilliseconds: number;
  /** Keeps log and term over a restart. */
  directory?: string;
  /** Starts as the primary of this term, unless a kept state says otherwise. */
  primaryTerm?: number;
  /** Starts as a replica of this primary. */
  follow?: FollowedPrimary & { term: number };
  /** Statements, split by `;`, that a primary writes when its log is empty. */
  schemaSql?: string;
  faults?: Partial<FaultSettings>;
}

/** A running database. @public */
export interface StandInDatabase {
  port: number;
  controlPort: number;
  stop: () => Promise<void>;
}

/**
 * Starts a database: MySQL protocol on one port, faults and observation on another.
 *
 * @example
 * const database = await createStandInDatabase({ ...DEFAULT_DATABASE_OPTIONS, name: 'a1' });
 * @public
 */
export async function createStandInDatabase(
  options: StandInDatabaseOptions,
): Promise<StandInDatabase> {
  const { directory } = options;
  if (directory !== undefined) mkdirSync(directory, { recursive: true });
  const log = createLog(directory);
  const serverUuid = readServerUuid(directory);
  const engine = createEngine(await loadSqlEngine());
  const faults = createFaults(options.faults);
  const member = createMember({ name: options.name, log, engine, directory });
  const logServer = createLogServer({ member, log, faults });
  const lock = createWriterLock();
  const slots = createSlots(options.slots);
  const counters = createStatementCounters();
  const listener = createListener({
    user: options.user,
    password: options.password,
    connectionLimit: options.connectionLimit,
    connectMilliseconds: options.connectMilliseconds,
    faults,
    createSession: () =>
      createSession({ engine, member, lock, serverUuid, onCommit: logServer.notify }),
    engine,
    member,
    slots,
    logServer,
    counters,
  });

  const socketServer = createServer((stream) => {
    listener.onConnection(createServerConnection(stream));
  });
  await new Promise<void>((resolve, reject) => {
    socketServer.once('error', reject);
    socketServer.listen(options.port, options.host, resolve);
  });

  takeFirstRole(options, member, engine);
  const replication = createReplication({ member, log, faults, password: options.password });
  const control = createControlServer({
    member,
    log,
    engine,
    faults,
    countConnections: listener.countConnections,
    counters,
  });
  await control.listen({ host: options.host, port: options.controlPort });

  return {
    port: (socketServer.address() as AddressInfo).port,
    controlPort: (control.server.address() as AddressInfo).port,
    stop: async () => {
      replication.stop();
      listener.closeAll();
      await Promise.all([
        control.close(),
        new Promise<void>((resolve) => {
          socketServer.close(() => resolve());
        }),
      ]);
    },
  };
}

/** Gives a database without a kept state the role that it is started with. */
function takeFirstRole(options: StandInDatabaseOptions, member: Member, engine: Engine): void {
  if (member.currentTerm() > 0) return;
  const { primaryTerm, follow, schemaSql } = options;
  if (follow) member.follow(follow.term, follow);
  if (primaryTerm === undefined) return;
  member.fence(primaryTerm);
  member.promote(primaryTerm);
  if (schemaSql === undefined) return;
  const statements = schemaSql
    .split(';')
    .filter((sql) => sql.trim() !== '')
    .map((sql) => ({ sql, parameters: [] }));
  engine.apply(statements);
  member.commit(statements);
}

/** Options that a test or a trial seldom changes. @public */
export const DEFAULT_DATABASE_OPTIONS = {
  host: '127.0.0.1',
  port: 0,
  controlPort: 0,
  user: 'proxy',
  password: 'proxy',
  slots: 5,
  connectionLimit: 30,
  connectMilliseconds: 0,
} as const;
