import { describe, expect, it } from 'vitest';
import { startStatementPath } from './statementsFixture';

const BLOB = Buffer.from(Array.from({ length: 700 }, (_, index) => index % 256));

interface Row {
  id: number;
  name: string | null;
  result: Buffer | null;
}

/** Operations common to the drivers. */
interface Driver {
  query: (sql: string, values?: unknown[]) => Promise<unknown>;
  execute: (sql: string, values?: unknown[]) => Promise<unknown>;
  begin: () => Promise<void>;
  commit: () => Promise<void>;
  rollback: () => Promise<void>;
}

type Fixture = Awaited<ReturnType<typeof startStatementPath>>;

const drivers: Record<string, (fixture: Fixture) => Promise<Driver>> = {
  mysql2: async ({ connect }) => {
    const connection = await connect();
    return {
      query: async (sql, values) => (await connection.query(sql, values))[0],
      execute: async (sql, values) => (await connection.execute(sql, values as never))[0],
      begin: () => connection.beginTransaction(),
      commit: () => connection.commit(),
      rollback: () => connection.rollback(),
    };
  },
  mariadb: async ({ connectMariadb }) => {
    const connection = await connectMariadb();
    return {
      query: (sql, values) => connection.query(sql, values),
      execute: (sql, values) => connection.execute(sql, values),
      begin: () => connection.beginTransaction(),
      commit: () => connection.commit(),
      rollback: () => connection.rollback(),
    };
  },
};

describe.each(Object.keys(drivers))('statements of %s', (name) => {
  const open = async () => {
    const fixture = await startStatementPath();
    return (drivers[name] as (fixture: Fixture) => Promise<Driver>)(fixture);
  };

  it('return complete results: text, prepared, NULL, binary, many rows', async () => {
    const { query, execute } = await open();
    await query('INSERT INTO tests (name, result) VALUES (?, NULL)', ["it's ünïcode ✓"]);
    await execute('INSERT INTO tests (name, result) VALUES (?, ?)', [null, BLOB]);
    const text = (await query('SELECT * FROM tests ORDER BY id')) as Row[];
    const prepared = (await execute('SELECT * FROM tests WHERE id > ? ORDER BY id', [0])) as Row[];
    expect(prepared).toEqual(text);
    expect(text.map((row) => row.name)).toEqual(["it's ünïcode ✓", null]);
    expect(text.map(({ result }) => result && Buffer.from(result))).toEqual([null, BLOB]);

    const sql = `WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 100000)
      SELECT i, i * 7 AS seven FROM n`;
    const rows = (await query(sql)) as { i: number; seven: number }[];
    expect(rows.length).toBe(100_000);
    expect(
      rows.every(
        ({ i, seven }, index) => Number(i) === index + 1 && Number(seven) === Number(i) * 7,
      ),
    ).toBe(true);
  });

  it('fail with the error code of the database', async () => {
    const { query, execute } = await open();
    await query("INSERT INTO tests (id, name) VALUES (1, 'a')");
    const duplicate = { errno: 1062, sqlState: '23000' };
    await expect(query("INSERT INTO tests (id, name) VALUES (1, 'b')")).rejects.toMatchObject(
      duplicate,
    );
    await expect(
      execute('INSERT INTO tests (id, name) VALUES (?, ?)', [1, 'b']),
    ).rejects.toMatchObject(duplicate);
    await expect(query('SELECT * FROM no_such_table')).rejects.toMatchObject({ errno: 1146 });
    await expect(execute('SELECT * FROM no_such_table')).rejects.toMatchObject({ errno: 1146 });
    expect(await query('SELECT COUNT(*) AS count FROM tests')).toHaveLength(1);
  });

  it('are committed or rolled back with their transaction', async () => {
    const { query, execute, begin, commit, rollback } = await open();
    await begin();
    await query("INSERT INTO tests (name) VALUES ('undone')");
    await rollback();
    await begin();
    await execute('INSERT INTO tests (name) VALUES (?)', ['kept']);
    expect(await query('SELECT name FROM tests')).toEqual([{ name: 'kept' }]);
    await commit();
    expect(await query('SELECT name FROM tests')).toEqual([{ name: 'kept' }]);
  });
});
