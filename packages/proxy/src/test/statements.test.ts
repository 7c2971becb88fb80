import { describe, expect, it } from 'vitest';
import { startStatements } from './statementsFixture';

describe('statement path', () => {
  it('carries text queries of two drivers', async () => {
    const { connect, connectMariadb } = await startStatements();
    const connection = await connect();
    await connection.query("INSERT INTO tests (name) VALUES ('one')");
    const mariadb = await connectMariadb();
    await mariadb.query('INSERT INTO tests (name) VALUES (?)', ['two']);
    const [rows] = await connection.query('SELECT name FROM tests ORDER BY id');
    expect(rows).toEqual([{ name: 'one' }, { name: 'two' }]);
    expect(await mariadb.query('SELECT name FROM tests ORDER BY id')).toEqual(rows);
  });
});
