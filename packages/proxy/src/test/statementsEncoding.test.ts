import { connect, createServer, type AddressInfo } from 'node:net';
import { DEFAULT_DATABASE_OPTIONS, createStandInDatabase } from '@wisterialift/stand-in-database';
import { expect, onTestFinished, test } from 'vitest';
import { startStatementPath } from './statementsFixture';

/** Starts a database; `includes` tells whether bytes were sent to it. */
async function startRecordedDatabase() {
  const database = await createStandInDatabase({
    ...DEFAULT_DATABASE_OPTIONS,
    name: 'a1',
    primaryTerm: 1,
  });
  const received: Buffer[] = [];
  const relay = createServer((client) => {
    const upstream = connect(database.port, '127.0.0.1');
    client.on('data', (chunk) => received.push(chunk));
    client.pipe(upstream).pipe(client);
    [client, upstream].forEach((socket) => socket.on('error', () => {}));
  });
  await new Promise<void>((resolve) => {
    relay.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(async () => {
    relay.close();
    await database.stop();
  });
  return {
    port: (relay.address() as AddressInfo).port,
    includes: (bytes: Buffer) => Buffer.concat(received).includes(bytes),
  };
}

test('prepared statements that are not valid UTF-8 reach the database as they were sent', async () => {
  // Guards against a statement that runs as another one, whose text is the same once it is decoded.
  const database = await startRecordedDatabase();
  const { connect: connectCaller } = await startStatementPath({ scriptedPort: database.port });
  const caller = await connectCaller({ charset: 'LATIN1_SWEDISH_CI' });
  for (const sql of ["SELECT 'Capé'", "SELECT 'Capè'", "DO 'Capé'", "DO 'Capè'"]) {
    await caller.execute(sql).catch(() => {});
    expect(database.includes(Buffer.from(`\x16${sql}`, 'latin1')), sql).toBe(true);
  }
});
