import { createConnection as createMariadbConnection } from 'mariadb';
import { createConnection } from 'mysql2';
import type { RowDataPacket } from 'mysql2';
import { describe, expect, onTestFinished, test } from 'vitest';
import { codeOf, startDatabase, startGroup } from './helpers';

const VALUES = [7, `it's a "note" \\ with\nlines`, Buffer.from([0, 1, 250, 251, 255]), null, 1.5];
const TABLE = 'CREATE TABLE samples (id INT, note TEXT, data BLOB, missing TEXT, size DOUBLE)';
const INSERT = 'INSERT INTO samples VALUES (?, ?, ?, ?, ?)';
const ROW_COUNT = 100_000;

describe('the MySQL protocol', () => {
  test('carries values whole in text and binary rows', async () => {
    const database = await startDatabase({ name: 'a1', primaryTerm: 1, schemaSql: TABLE });
    const connection = await database.connect();
    await connection.query(INSERT, VALUES);
    await connection.execute(INSERT, VALUES);
    const [textRows] = await connection.query({ sql: 'SELECT * FROM samples', rowsAsArray: true });
    const [binaryRows] = await connection.execute({
      sql: 'SELECT * FROM samples WHERE id = ?',
      values: [7],
      rowsAsArray: true,
    });
    expect(textRows).toEqual([VALUES, VALUES]);
    expect(binaryRows).toEqual([VALUES, VALUES]);
  });

  test('serves a second driver, prepared and not', async () => {
    const database = await startDatabase({ name: 'a1', primaryTerm: 1, schemaSql: TABLE });
    const connection = await createMariadbConnection({
      host: '127.0.0.1',
      port: database.port,
      user: 'proxy',
      password: 'proxy',
      // The driver shows the 64-bit column as bigint otherwise.
      bigIntAsNumber: true,
    });
    onTestFinished(() => connection.end());
    await connection.execute(INSERT, VALUES);
    const options = { sql: 'SELECT * FROM samples WHERE id = ?', rowsAsArray: true };
    expect(await connection.query(options, [7])).toEqual([VALUES]);
    expect(await connection.execute(options, [7])).toEqual([VALUES]);
  });

  test('answers 100,000 rows no faster than the client takes them', async () => {
    const database = await startDatabase({ name: 'a1', primaryTerm: 1 });
    const connection = createConnection({
      host: '127.0.0.1',
      port: database.port,
      user: 'proxy',
      password: 'proxy',
    });
    onTestFinished(() => connection.destroy());
    const stream = connection
      .query(
        `WITH RECURSIVE s(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM s WHERE n < ${ROW_COUNT})
        SELECT n, 'a record of some length' AS note FROM s`,
      )
      .stream({ highWaterMark: 10 });
    let expected = 1;
    for await (const row of stream as AsyncIterable<RowDataPacket>) {
      expect(row.n).toBe(expected);
      expected += 1;
    }
    expect(expected).toBe(ROW_COUNT + 1);
  });

  test('gives errors the codes of MySQL and keeps the connection', async () => {
    const [primary] = await startGroup();
    const connection = await primary!.connect();
    await connection.query("INSERT INTO records (id, note) VALUES (1, 'first')");
    const statements = [
      'INSERT INTO records (id) VALUES (1)',
      'SELECT * FROM absent',
      'SELEC 1',
      'SELECT absent FROM records',
    ];
    const codes = [];
    for (const sql of statements) codes.push(await codeOf(connection.query(sql)));
    expect(codes).toEqual([1062, 1146, 1064, 1054]);
    await connection.ping();
  });

  test('refuses a wrong password and connections beyond the limit', async () => {
    const database = await startDatabase({ name: 'a1', primaryTerm: 1, connectionLimit: 2 });
    await database.connect();
    const second = await database.connect();
    expect(await codeOf(database.connect())).toBe(1040);
    await second.end();
    await database.connect();
  });
});
