import { createHash } from 'node:crypto';
import { connect as connectTcp, type Socket } from 'node:net';
import {
  createConnection as createMariadbConnection,
  type Connection as MariadbConnection,
} from 'mariadb';
import { createConnection, type Connection, type ConnectionOptions } from 'mysql2/promise';
import { onTestFinished } from 'vitest';
import type { CallerTls } from '@wisterialift/mysql';
import {
  configurationSchema,
  settingsSchema,
  type Configuration,
  type Settings,
} from '@wisterialift/schema';
import {
  DEFAULT_DATABASE_OPTIONS,
  createStandInDatabase,
  type FaultSettings,
  type StandInDatabase,
} from '@wisterialift/stand-in-database';
import type { EngineRecord } from '@wisterialift/core';
import type { RequestObservation } from '../lib/statements/caller/callerTypes';
import { createStatementPath, type StatementPath } from '../lib/statements/statementPath';

export const GROUP = 'archivio-luci-1';
/** A configured group that the caller may not use. */
export const OTHER_GROUP = 'archivio-luci-2';
export const CALLER = 'luce';
export const PASSWORD = 'secret';

/** A statement path with an upstream group of three databases. */
export interface StatementsFixture {
  path: StatementPath;
  port: number;
  configuration: Configuration;
  records: EngineRecord[];
  observations: RequestObservation[];
  /** Connects with mysql2. */
  connect: (options?: Partial<ConnectionOptions>) => Promise<Connection>;
  connectMariadb: () => Promise<MariadbConnection>;
  /** Opens a TCP connection; resolves after the server's greeting. */
  connectRaw: () => Promise<Socket>;
  setFaults: (member: MemberName, faults: Partial<FaultSettings>) => Promise<void>;
  setFaultsOnAllMembers: (faults: Partial<FaultSettings>) => Promise<void>;
  /** Reads rows from a member's committed data. */
  readRows: (member: MemberName, sql: string) => Promise<unknown>;
}

export interface FixtureOptions {
  kinds?: Record<string, unknown>;
  connectionLimit?: number;
  limits?: Partial<Settings['limits']>;
  callerTls?: CallerTls;
  /** Port of a scripted database to use in place of the three databases. */
  scriptedPort?: number;
}

export type MemberName = 'a1' | 'a2' | 'a3';

const SCHEMA_SQL = `CREATE TABLE tests (id INTEGER PRIMARY KEY AUTO_INCREMENT, name VARCHAR(100), result BLOB);
  CREATE TABLE big (id INTEGER PRIMARY KEY, text VARCHAR(100))`;

/** Starts the databases and the statement path; both are stopped after the test. */
export async function startStatementPath(options: FixtureOptions = {}): Promise<StatementsFixture> {
  const databases = options.scriptedPort === undefined ? await startDatabases() : undefined;
  const ports = Object.entries(databases ?? { a1: { port: options.scriptedPort ?? 0 } });
  const { user, password } = DEFAULT_DATABASE_OPTIONS;
  const configuration = configurationSchema.parse({
    groups: {
      [GROUP]: {
        databases: ports.map(([name, { port }]) => createDatabaseSettings(name, port)),
        user,
        password,
      },
      [OTHER_GROUP]: { databases: [createDatabaseSettings('b1', 1)], user, password },
    },
    callers: {
      [CALLER]: {
        passwordHash: hashPassword(PASSWORD),
        groups: [GROUP],
        connectionLimit: options.connectionLimit ?? 100,
      },
      other: { passwordHash: hashPassword('other'), groups: [GROUP] },
    },
    kinds: options.kinds ?? {},
  });
  const records: EngineRecord[] = [];
  const observations: RequestObservation[] = [];
  const path = createStatementPath({
    settings: createSettings(options),
    configuration,
    random: () => 0.5,
    record: ({ record }) => records.push(record),
    observe: (observation) => observations.push(observation),
    callerTls: options.callerTls,
    onPrimaryPromoted: () => {},
  });
  const { port } = await path.listen();
  onTestFinished(() => path.stop());
  await waitUntil(() => path.views().some(({ primary }) => primary === 'a1'));
  return {
    path,
    port,
    configuration,
    records,
    observations,
    connect: (connectOptions) => connectTo(port, connectOptions),
    connectMariadb: () => connectWithMariadb(port),
    connectRaw: () => connectRaw(port),
    setFaults: (member, faults) => setFaults(databases?.[member], faults),
    setFaultsOnAllMembers: async (faults) => {
      await Promise.all(ports.map(([name]) => setFaults(databases?.[name as MemberName], faults)));
    },
    readRows: (member, sql) => readRows(databases?.[member], sql),
  };
}

/** Polls a condition; relies on the timeout of the test. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

/** Polls a number until it has stopped changing. */
export async function waitUntilStable(read: () => number): Promise<void> {
  let last = Number.NaN;
  let unchanged = 0;
  await waitUntil(() => {
    unchanged = read() === last ? unchanged + 1 : 0;
    last = read();
    return unchanged === 50;
  });
}

function createDatabaseSettings(name: string, port: number) {
  const dataCentre = `${name}-dc`;
  return { name, host: '127.0.0.1', port, dataCentre, connectionLimit: 30, slots: 5 };
}

async function startDatabases() {
  const start = (name: string, options: Partial<Parameters<typeof createStandInDatabase>[0]>) =>
    createStandInDatabase({ ...DEFAULT_DATABASE_OPTIONS, name, ...options });
  const a1 = await start('a1', { primaryTerm: 1, schemaSql: SCHEMA_SQL });
  const follow = { name: 'a1', address: `127.0.0.1:${a1.port}`, term: 1 };
  const a2 = await start('a2', { follow });
  const a3 = await start('a3', { follow });
  onTestFinished(async () => {
    await Promise.all([a1, a2, a3].map((database) => database.stop()));
  });
  return { a1, a2, a3 };
}

function createSettings({ limits }: FixtureOptions): Settings {
  return settingsSchema.parse({
    instance: { name: 'entry-1', dataCentre: 'a1-dc', region: 'lomb-nord' },
    callers: { port: 0 },
    peers: { port: 0 },
    administration: { port: 0, token: 'operator-token' },
    platform: { address: 'http://127.0.0.1:1' },
    limits: { ...limits },
  });
}

async function connectTo(port: number, options?: Partial<ConnectionOptions>): Promise<Connection> {
  const connection = await createConnection({
    host: '127.0.0.1',
    port,
    user: CALLER,
    password: PASSWORD,
    database: GROUP,
    ...options,
  });
  connection.on('error', () => {});
  onTestFinished(() => connection.destroy());
  return connection;
}

async function connectWithMariadb(port: number): Promise<MariadbConnection> {
  const connection = await createMariadbConnection({
    host: '127.0.0.1',
    port,
    user: CALLER,
    password: PASSWORD,
    database: GROUP,
  });
  connection.on('error', () => {});
  onTestFinished(() => connection.destroy());
  return connection;
}

async function connectRaw(port: number): Promise<Socket> {
  const socket = connectTcp(port, '127.0.0.1');
  socket.on('error', () => {});
  onTestFinished(() => {
    socket.destroy();
  });
  await new Promise((resolve) => {
    socket.once('data', resolve);
  });
  return socket;
}

function hashPassword(password: string): string {
  const sha1 = (data: Buffer): Buffer => createHash('sha1').update(data).digest();
  return sha1(sha1(Buffer.from(password))).toString('hex');
}

async function setFaults(
  database: StandInDatabase | undefined,
  faults: Partial<FaultSettings>,
): Promise<void> {
  const response = await fetch(`http://127.0.0.1:${database?.controlPort}/faults`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
  if (!response.ok) throw new Error(await response.text());
}

async function readRows(database: StandInDatabase | undefined, sql: string): Promise<unknown> {
  const response = await fetch(
    `http://127.0.0.1:${database?.controlPort}/rows?sql=${encodeURIComponent(sql)}`,
  );
  return response.json();
}
