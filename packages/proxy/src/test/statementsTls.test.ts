import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createConnection as createMariadbConnection } from 'mariadb';
import { describe, expect, it } from 'vitest';
import { CALLER, GROUP, PASSWORD, startStatementPath } from './statementsFixture';

const KEYS = join(import.meta.dirname, '../../../peer/src/test/keys');

/** Reads the test keys that one of two certificate authorities has signed. */
function readKeys(authority: 'own' | 'foreign') {
  const read = (part: string): Buffer => readFileSync(join(KEYS, `${authority}-${part}.pem`));
  return { certificate: read('certificate'), key: read('key'), authority: read('authority') };
}

const readServerKeys = (authority: 'own' | 'foreign') => {
  const { certificate, key } = readKeys(authority);
  return { certificate, key };
};

describe('TLS for callers', () => {
  it('works with both drivers, while other callers connect without TLS', async () => {
    const { connect, port } = await startStatementPath({ callerTls: readServerKeys('own') });
    const ca = readKeys('own').authority;
    const connection = await connect({ ssl: { ca } });
    const text = 'x'.repeat(200_000);
    expect((await connection.query(`SELECT '${text}' AS text`))[0]).toEqual([{ text }]);
    const login = { host: '127.0.0.1', port, user: CALLER, password: PASSWORD, database: GROUP };
    // The driver checks for the name "localhost", but the certificate has only an IP address.
    const ssl = { ca, checkServerIdentity: () => undefined };
    const mariadb = await createMariadbConnection({ ...login, ssl });
    expect(await mariadb.execute('SELECT ? AS text', [text])).toEqual([{ text }]);
    await mariadb.end();
    const unencrypted = await connect();
    expect((await unencrypted.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });

  it('uses replaced keys for new connections', async () => {
    const { connect, path } = await startStatementPath({ callerTls: readServerKeys('foreign') });
    const ca = readKeys('own').authority;
    await expect(connect({ ssl: { ca } })).rejects.toThrow();
    expect(() => {
      path.applyCallerTls({ ...readServerKeys('own'), key: Buffer.from('no key') });
    }).toThrow();
    path.applyCallerTls(readServerKeys('own'));
    const connection = await connect({ ssl: { ca } });
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });

  it('requires client certificates if an authority is configured', async () => {
    const { connect } = await startStatementPath({ callerTls: readKeys('own') });
    const { certificate, key, authority: ca } = readKeys('own');
    const connection = await connect({ ssl: { ca, cert: certificate, key } });
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
    await expect(connect({ ssl: { ca } })).rejects.toThrow();
  });
});
