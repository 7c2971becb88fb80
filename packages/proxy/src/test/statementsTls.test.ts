import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createConnection as createMariadbConnection } from 'mariadb';
import { describe, expect, it } from 'vitest';
import { CALLER, GROUP, PASSWORD, startStatements } from './statementsFixture';

const KEYS = join(import.meta.dirname, '../../../peer/src/test/keys');

/** Keys of one of two authorities; they are made for tests alone. */
function readKeys(authority: 'own' | 'foreign') {
  const read = (part: string): Buffer => readFileSync(join(KEYS, `${authority}-${part}.pem`));
  return { certificate: read('certificate'), key: read('key'), authority: read('authority') };
}

const serverKeys = (authority: 'own' | 'foreign') => {
  const { certificate, key } = readKeys(authority);
  return { certificate, key };
};

describe('TLS towards callers', () => {
  it('carries statements of both drivers, and those in the clear beside them', async () => {
    const { connect, port } = await startStatements({ callerTls: serverKeys('own') });
    const ca = readKeys('own').authority;
    const connection = await connect({ ssl: { ca } });
    const text = 'x'.repeat(200_000);
    expect((await connection.query(`SELECT '${text}' AS text`))[0]).toEqual([{ text }]);
    const login = { host: '127.0.0.1', port, user: CALLER, password: PASSWORD, database: GROUP };
    // The driver asks for the name "localhost", while the keys name an IP address.
    const ssl = { ca, checkServerIdentity: () => undefined };
    const mariadb = await createMariadbConnection({ ...login, ssl });
    expect(await mariadb.execute('SELECT ? AS text', [text])).toEqual([{ text }]);
    await mariadb.end();
    const clear = await connect();
    expect((await clear.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });

  it('takes other keys for the callers to come', async () => {
    const { connect, path } = await startStatements({ callerTls: serverKeys('foreign') });
    const ca = readKeys('own').authority;
    await expect(connect({ ssl: { ca } })).rejects.toThrow();
    expect(() => {
      path.applyCallerTls({ ...serverKeys('own'), key: Buffer.from('no key') });
    }).toThrow();
    path.applyCallerTls(serverKeys('own'));
    const connection = await connect({ ssl: { ca } });
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });

  it('asks callers for a certificate where an authority is set', async () => {
    const { connect } = await startStatements({ callerTls: readKeys('own') });
    const { certificate, key, authority: ca } = readKeys('own');
    const connection = await connect({ ssl: { ca, cert: certificate, key } });
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
    await expect(connect({ ssl: { ca } })).rejects.toThrow();
  });
});
