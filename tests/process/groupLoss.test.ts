import { startTrial } from '@wisterialift/bench';
import type { Trial, TrialDatabase, TrialProxy } from '@wisterialift/bench';
import type { Connection, RowDataPacket } from 'mysql2/promise';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from './lib/workload';

const GROUP = 'archivio-luci-1';
const NOT_RUN = 9101;
const UNKNOWN = 9102;
const TEST_TIMEOUT_MILLISECONDS = 180_000;

let trial: Trial;

afterEach(async () => {
  await trial.stop();
});

async function connect(index = 0): Promise<Connection> {
  return trial.connectToProxy(trial.proxies[index] as TrialProxy, GROUP);
}

function insert(connection: Connection, id: string): Promise<unknown> {
  return connection.query('INSERT INTO records (id, session, note) VALUES (?, ?, ?)', [id, id, '']);
}

async function countRows(connection: Connection, id: string): Promise<number> {
  const sql = 'SELECT COUNT(*) AS count FROM records WHERE id = ?';
  const [rows] = await connection.query<(RowDataPacket & { count: number })[]>(sql, [id]);
  return Number(rows[0]?.count);
}

/** Error number of a statement that must fail. */
async function failureOf(statement: Promise<unknown>): Promise<number> {
  const error = await statement.then(
    () => undefined,
    (failure: { errno: number }) => failure,
  );
  if (!error) throw new Error('the statement did not fail');
  return error.errno;
}

describe('a group that lost its majority', () => {
  it(
    'refuses writes with a clear error and still serves reads of stated age',
    async () => {
      // Two of three databases lose power. A write could be confirmed by nobody, so the caller is
      // told so within the deadline and nothing is acknowledged. An officer's look-up that accepts
      // older data goes on at the database that is left.
      trial = await startTrial({
        proxies: 1,
        groups: [GROUP],
        kinds: {
          inspection: {
            maximumStalenessMilliseconds: 600_000,
            deadlineMilliseconds: 5_000,
            priority: 5,
            isRepeatable: true,
          },
          urgent: {
            maximumStalenessMilliseconds: 0,
            deadlineMilliseconds: 1_500,
            priority: 5,
            isRepeatable: true,
          },
        },
      });
      const connection = await connect();
      await insert(connection, 'before');
      await connection.query("SET wisterialift_kind = 'inspection'");
      await waitUntil(
        'a replica shows the record',
        async () => (await countRows(connection, 'before')) === 1,
      );
      const databases = trial.databasesOf(GROUP);
      await waitUntil('every database shows the record', async () => {
        const rows = await Promise.all(
          databases.map((database) =>
            database.readRows("SELECT id FROM records WHERE id = 'before'"),
          ),
        );
        return rows.every(({ length }) => length === 1);
      });
      const [primary, replica] = databases as [TrialDatabase, TrialDatabase];
      await Promise.all([primary.program().kill(), replica.program().kill()]);
      await connection.query("SET wisterialift_kind = 'urgent'");
      expect([NOT_RUN, UNKNOWN]).toContain(await failureOf(insert(connection, 'during')));
      expect(await failureOf(insert(connection, 'later'))).toBe(NOT_RUN);
      await connection.query("SET wisterialift_kind = 'inspection'");
      expect(await countRows(connection, 'before')).toBe(1);

      await replica.restart();
      await connection.query("SET wisterialift_kind = 'urgent'");
      await waitUntil('writes flow again', async () =>
        insert(connection, 'after').then(
          () => true,
          ({ errno }: { errno: number }) => errno === 1062,
        ),
      );
      expect(await countRows(connection, 'later')).toBe(0);
      connection.destroy();
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});

describe('a proxy that dies in a transaction', () => {
  it(
    'leaves nothing of it behind',
    async () => {
      // An inspector enters two results in one transaction; the proxy loses power before COMMIT. The
      // database sees the connection close and rolls back, so neither result may show.
      trial = await startTrial({ proxies: 2, groups: [GROUP] });
      const connection = await connect(0);
      await connection.query('BEGIN');
      await insert(connection, 'half-1');
      await insert(connection, 'half-2');
      await (trial.proxies[0] as TrialProxy).program().kill();
      connection.destroy();
      const other = await connect(1);
      await insert(other, 'whole');
      expect(await countRows(other, 'half-1')).toBe(0);
      expect(await countRows(other, 'half-2')).toBe(0);
      expect(await countRows(other, 'whole')).toBe(1);
      other.destroy();
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
