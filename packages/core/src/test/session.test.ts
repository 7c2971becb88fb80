import { describe, expect, it } from 'vitest';
import {
  InvalidTokenError,
  classifyStatement,
  createSession,
  decodeToken,
  encodeToken,
} from '../index';

const statements = [
  'SELECT * FROM tests WHERE id = 1',
  '  -- note\n/* other */ (SELECT 1)',
  "SELECT 'FOR UPDATE' AS text, `into` FROM tests",
  'SELECT * FROM tests WHERE id = 1 FOR UPDATE',
  'SELECT * FROM tests LOCK IN SHARE MODE',
  'SELECT 1 INTO OUTFILE "x"',
  'SELECT /*! SQL_NO_CACHE */ 1',
  'SELECT @total := 4',
  'SELECT REPLACE(name, "a", "b"), INSERT(name, 1, 1, "x") FROM tests',
  'WITH old AS (SELECT 1) DELETE FROM tests',
  'WITH old AS (SELECT 1) SELECT * FROM old',
  'SELECT GET_LOCK("a", 1)',
  'SELECT 1; DELETE FROM tests',
  "SELECT ';', ':=', '/*!', `FOR`, `SHARE` FROM tests WHERE name = '('",
  'INSERT INTO tests VALUES (1)',
  'INSERT INTO tests VALUES (1) RETURNING id',
  "INSERT INTO tests VALUES ('returning')",
  'PURGE SOMETHING',
  'CALL move_lamp(7)',
  'DO SLEEP(1)',
  'SAVEPOINT a',
  'RELEASE SAVEPOINT a',
  '',
  'begin',
  'START TRANSACTION READ ONLY;',
  'BEGIN; DELETE FROM tests',
  'COMMIT',
  'commit and chain',
  'ROLLBACK',
  'ROLLBACK TO SAVEPOINT a',
  'CREATE TABLE t (id INT)',
  'CREATE TEMPORARY TABLE t (id INT)',
  'USE `archivio-luci-1`',
  "SET NAMES 'utf8mb4' COLLATE utf8mb4_bin, @@session.autocommit = 1",
  "SET @wisterialift_token = 'a''b', SESSION sql_mode = CONCAT(@@sql_mode, ',X')",
  'SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED',
  'SELECT @@system_time_zone stz, @@session.time_zone AS tz, DATABASE() LIMIT 1',
  'SELECT @@version, id FROM tests',
  "SHOW SESSION VARIABLES LIKE 'max%'",
  'SHOW TABLES',
  'GROUP FENCE TERM 9',
  '/* wisterialift kind=history token=w1.x.00000000 odd=1 */ SELECT 1',
];

/** Nearly as long as the largest packet that is accepted by default. */
const LENGTH = 16_000_000;

const LONG_STATEMENTS = {
  'a long string of doubled quotes': { sql: `SELECT '${"'".repeat(LENGTH)}'`, type: 'read' },
  'a long string of escapes': { sql: `SELECT '${'\\'.repeat(LENGTH)}'`, type: 'read' },
  'a long identifier': { sql: `SELECT \`${'`'.repeat(LENGTH)}\``, type: 'read' },
  'many comments': { sql: `${'/**/'.repeat(LENGTH / 4)}SELECT 1`, type: 'read' },
  'a string without an end': { sql: `SELECT '${"\\'".repeat(LENGTH / 2)}`, type: 'write' },
  'a comment without an end': { sql: `SELECT ${'/* '.repeat(LENGTH / 3)}`, type: 'write' },
  'many variables': { sql: `SELECT ${'@@a,'.repeat(400_000)}@@a`, type: 'selectVariables' },
  'a long option': { sql: `/* wisterialift ${'a'.repeat(LENGTH)} */ SELECT 1`, type: 'read' },
};

describe('classifyStatement', () => {
  it('classifies each statement', () => {
    const table = Object.fromEntries(statements.map((sql) => [sql, classifyStatement(sql)]));
    expect(table).toMatchSnapshot();
  });

  it('takes linear time for a long string literal', () => {
    const text = `SELECT '${"\\'x''".repeat(300_000)}' FROM tests`;
    expect(classifyStatement(text).request).toEqual({ type: 'read' });
  });

  // A statement whose text exceeds the stack, or takes minutes, ends the service of all callers.
  it.each(Object.entries(LONG_STATEMENTS))('classifies %s', (_, { sql, type }) => {
    expect(classifyStatement(sql).request.type).toBe(type);
  });
});

describe('session token', () => {
  const positions = [
    { group: 'archivio-luci-1', position: { term: 3, index: 17 } },
    { group: 'archivio-luci-2', position: { term: 1, index: 4 } },
  ];

  it('round-trips through encoding', () => {
    expect(decodeToken(encodeToken(positions))).toEqual(positions);
    expect(decodeToken(encodeToken([]))).toEqual([]);
  });

  // A truncated or mistyped token could name an older position, so that reads miss the session's writes.
  it('is rejected when any character is missing or changed', () => {
    const token = encodeToken(positions);
    for (let index = 0; index < token.length; index += 1) {
      const cut = token.slice(0, index) + token.slice(index + 1);
      const changed = `${token.slice(0, index)}${token[index] === 'a' ? 'b' : 'a'}${token.slice(index + 1)}`;
      expect(() => decodeToken(cut)).toThrow(InvalidTokenError);
      expect(() => decodeToken(changed)).toThrow(InvalidTokenError);
    }
  });
});

describe('session', () => {
  const group = 'archivio-luci-1';
  const set = (name: string, value: string) =>
    ({ scope: 'session', name: `wisterialift_${name}`, value }) as const;

  // A roaming session may write through another proxy, so that a floor from the writes of this one
  // would be too low.
  it('has a floor only if the caller supplies a token or roaming is off', () => {
    const session = createSession();
    session.addWrite(group, { term: 1, index: 5 });
    expect(session.resolveFloor(group)).toBeUndefined();

    const token = encodeToken([{ group, position: { term: 1, index: 9 } }]);
    expect(session.resolveFloor(group, token)).toEqual({ term: 1, index: 9 });
    expect(session.resolveFloor(group)).toBeUndefined();

    session.assign(set('roaming', '0'));
    expect(session.resolveFloor(group)).toEqual({ term: 1, index: 9 });
    expect(decodeToken(session.createToken())).toEqual([
      { group, position: { term: 1, index: 9 } },
    ]);

    session.reset();
    session.assign(set('token', token));
    session.addWrite(group, { term: 2, index: 1 });
    expect(session.resolveFloor(group)).toEqual({ term: 2, index: 1 });
  });

  it('rejects unknown variables and invalid values', () => {
    const session = createSession();
    expect(() => session.assign(set('token', 'w1.x.y'))).toThrow(InvalidTokenError);
    expect(() => session.assign(set('kind', 'No Kind'))).toThrow('not the name of a kind');
    for (const name of ['colour', '__proto__', 'constructor']) {
      expect(() => session.assign(set(name, 'red'))).toThrow('no variable of a session');
      expect(() => session.assign(set('roaming', name))).toThrow('takes 0 or 1');
    }
    expect(session.assign({ scope: 'session', name: 'sql_mode', value: '' })).toBe(false);
  });
});
