import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ReportedMemberStatus } from '@wisterialift/schema';
import { createConnection } from 'mysql2/promise';
import type { Connection, ResultSetHeader, RowDataPacket } from 'mysql2/promise';
import { onTestFinished } from 'vitest';
import { DEFAULT_DATABASE_OPTIONS, createStandInDatabase } from '../index';
import type { FaultSettings, StandInDatabase, StandInDatabaseOptions } from '../index';

/** A database under test with steps that a test reads well by. */
export interface TestDatabase extends StandInDatabase {
  name: string;
  address: string;
  directory: string;
  connect: () => Promise<Connection>;
  setFaults: (faults: Partial<FaultSettings>) => Promise<void>;
  /** Runs a statement of the group's control; gives the status or the error's code. */
  control: (sql: string) => Promise<ReportedMemberStatus | number>;
  status: () => Promise<ReportedMemberStatus>;
}

/** A connection that ends with the test. */
export async function connectTo(port: number): Promise<Connection> {
  const { host, user, password } = DEFAULT_DATABASE_OPTIONS;
  const connection = await createConnection({ host, port, user, password });
  // A cut connection fails its statement; the event has no other receiver.
  connection.on('error', () => undefined);
  onTestFinished(() => connection.destroy());
  return connection;
}

/** Starts a database that ends with the test and keeps its log in a directory of its own. */
export async function startDatabase(
  options: Partial<StandInDatabaseOptions> & { name: string },
): Promise<TestDatabase> {
  const directory = options.directory ?? mkdtempSync(join(tmpdir(), 'stand-in-database-'));
  const database = await createStandInDatabase({
    ...DEFAULT_DATABASE_OPTIONS,
    ...options,
    directory,
  });
  let hasStopped = false;
  const stop = async (): Promise<void> => {
    if (hasStopped) return;
    hasStopped = true;
    await database.stop();
  };
  onTestFinished(stop);
  const connect = (): Promise<Connection> => connectTo(database.port);
  const control = async (sql: string): Promise<ReportedMemberStatus | number> => {
    const connection = await connect();
    try {
      const [rows] = await connection.query<RowDataPacket[]>(sql);
      return JSON.parse(String(rows[0]?.status)) as ReportedMemberStatus;
    } catch (error) {
      return errorCode(error);
    } finally {
      connection.destroy();
    }
  };
  return {
    ...database,
    stop,
    name: options.name,
    address: `${DEFAULT_DATABASE_OPTIONS.host}:${database.port}`,
    directory,
    connect,
    control,
    status: async () => (await control('SHOW GROUP STATUS')) as ReportedMemberStatus,
    setFaults: async (faults) => {
      const response = await fetch(`http://127.0.0.1:${database.controlPort}/faults`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(faults),
      });
      if (!response.ok) throw new Error(await response.text());
    },
  };
}

const RECORDS = 'CREATE TABLE records (id INT AUTO_INCREMENT PRIMARY KEY, note TEXT, data BLOB)';

/** Starts a primary of term 1 and its replicas, with an empty table `records`. */
export async function startGroup(...replicaNames: string[]): Promise<TestDatabase[]> {
  const primary = await startDatabase({ name: 'a1', primaryTerm: 1, schemaSql: RECORDS });
  const follow = { name: 'a1', address: primary.address, term: 1 };
  const replicas = await Promise.all(replicaNames.map((name) => startDatabase({ name, follow })));
  await Promise.all(replicas.map((replica) => waitForIndex(replica, 2)));
  return [primary, ...replicas];
}

/** Adds a record; gives the tracked position as text. */
export async function addRecord(connection: Connection, note: string): Promise<string> {
  const [header] = await connection.execute<ResultSetHeader>(
    'INSERT INTO records (note) VALUES (?)',
    [note],
  );
  const { stateChanges } = header as { stateChanges?: { gtids?: string[] } };
  return stateChanges?.gtids?.[0] ?? '';
}

/** The notes that a connection reads. */
export async function readNotes(connection: Connection): Promise<string[]> {
  const [rows] = await connection.query<RowDataPacket[]>('SELECT note FROM records ORDER BY id');
  return rows.map((row) => String(row.note));
}

/** Waits until reads of a database show the log through an index. */
export async function waitForIndex(database: TestDatabase, index: number): Promise<void> {
  while ((await database.status()).applied.index < index) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

/** The MySQL code of an error, or 0 where the connection broke off. */
export function errorCode(error: unknown): number {
  return Number((error as { errno?: number }).errno) || 0;
}

/** The code that a promise fails with. */
export async function codeOf(promise: Promise<unknown>): Promise<number> {
  return promise.then(() => {
    throw new Error('did not fail');
  }, errorCode);
}
