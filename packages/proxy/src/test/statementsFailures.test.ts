import { describe, expect, it } from 'vitest';
import { encodeToken } from '@wisterialift/core';
import { toFrames } from '@wisterialift/mysql';
import type { Caller } from '@wisterialift/schema';
import type { Connection as CallbackConnection, RowDataPacket } from 'mysql2';
import type { Connection } from 'mysql2/promise';
import {
  GROUP,
  OTHER_GROUP,
  startStatements,
  waitUntil,
  waitUntilSteady,
  type MemberName,
} from './statementsFixture';
import { startScriptedDatabase, streamRows } from './scriptedDatabase';

const header = (length: number, sequence: number): Buffer => {
  const buffer = Buffer.alloc(4);
  buffer.writeUIntLE(length, 0, 3);
  buffer.writeUInt8(sequence, 3);
  return buffer;
};

/** A whole login of a caller that nobody knows: flags, packet size, character set, name, no password. */
const LOGIN = Buffer.concat([
  Buffer.from([0x00, 0x82, 0x00, 0x00, 0, 0, 0, 1, 45]),
  Buffer.alloc(23),
  Buffer.from('nobody\0\0'),
]);

/** What mysql2 makes of session-track data; its types leave it out. */
interface TrackedAnswer {
  stateChanges: { systemVariables: Record<string, string> };
}

const closed = (socket: { once: (event: 'close', listener: () => void) => unknown }) =>
  new Promise<void>((resolve) => {
    socket.once('close', resolve);
  });

describe('a login', () => {
  it('is refused with the reason and its code', async () => {
    const { connect, port } = await startStatements({ connectionLimit: 2 });
    await expect(connect({ password: 'wrong' })).rejects.toMatchObject({ errno: 1045 });
    await expect(connect({ password: '' })).rejects.toMatchObject({ errno: 1045 });
    await expect(connect({ user: 'nobody' })).rejects.toMatchObject({ errno: 1045 });
    await expect(connect({ database: 'nothing' })).rejects.toMatchObject({ errno: 1049 });
    await expect(connect({ database: OTHER_GROUP })).rejects.toMatchObject({ errno: 1044 });

    const first = await connect();
    await connect();
    await expect(connect()).rejects.toMatchObject({ errno: 1226, sqlState: '42000' });
    await expect(first.changeUser({ user: 'other' })).rejects.toMatchObject({ errno: 1047 });
    await first.end();
    await waitUntil(async () => (await connect().catch(() => undefined)) !== undefined);
    expect(port).toBeGreaterThan(0);
  });

  // A caller without a group, or with one that it may not use, asks all the same.
  it('confines the caller to its groups afterwards too', async () => {
    const { connect } = await startStatements();
    const connection = await connect({ database: undefined });
    await expect(connection.query('SELECT 1')).rejects.toMatchObject({ errno: 1046 });
    await expect(connection.query(`USE \`${OTHER_GROUP}\``)).rejects.toMatchObject({ errno: 1044 });
    await expect(connection.query('GROUP FENCE TERM 9')).rejects.toMatchObject({ errno: 1235 });
    await connection.query(`USE \`${GROUP}\``);
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });
});

describe('a bad packet', () => {
  // One broken or hostile client sends bytes that are no packet, or a header that announces 16 MB.
  // Read on, they would be taken for statements, or fill the memory of every caller's proxy.
  it.each([
    ['garbage in place of a login', Buffer.alloc(3_000, 0xff), 1153],
    ['a login out of order', Buffer.concat([header(LOGIN.length, 7), LOGIN]), undefined],
    ['a cut login', Buffer.concat([header(3, 1), Buffer.from('abc')]), undefined],
    ['an announced login of 16 MB', header(0xff_ffff, 1), 1153],
    ['an empty login', header(0, 1), undefined],
  ])('closes its own connection alone: %s', async (_name, bytes, errno) => {
    const { connect, connectRaw } = await startStatements();
    const connection = await connect();
    const socket = await connectRaw();
    const answers: Buffer[] = [];
    socket.on('data', (answer) => answers.push(answer));
    socket.write(bytes);
    await closed(socket);
    expect(answers.map((answer) => answer.readUInt16LE(5))).toEqual(errno ? [errno] : []);
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });

  it.each([
    ['a number out of order', Buffer.concat([header(1, 5), Buffer.from([0x0e])]), 1835],
    ['an empty command', header(0, 0), 1835],
    ['a cut execute', Buffer.concat([header(2, 0), Buffer.from([0x17, 1])]), 1835],
    ['an announced command above the limit', header(70_000, 0), 1153],
  ])('closes its own connection alone: %s', async (_name, bytes, errno) => {
    const { connect } = await startStatements({ limits: { maximumPacketBytes: 65_536 } });
    const connection = await connect();
    const bad = await connect();
    const errors: Error[] = [];
    bad.on('error', (error: Error) => errors.push(error));
    const { stream } = (bad as unknown as { connection: { stream: import('node:net').Socket } })
      .connection;
    const ended = closed(stream);
    stream.write(bytes);
    await ended;
    expect(errors).toMatchObject([{ code: errno }]);
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });
});

describe('answers', () => {
  // Many callers ask at the same time and share a few connections: an answer that is handed to the
  // wrong one shows as somebody else's rows.
  it('go to the caller who asked, whatever their order', async () => {
    const { connect } = await startStatements();
    const connections = await Promise.all(Array.from({ length: 12 }, () => connect()));
    const asks = connections.flatMap((connection, caller) =>
      Array.from({ length: 20 }, async (_, turn) => {
        const value = `${caller}-${turn}-${'x'.repeat((caller * 37 * turn) % 9_000)}`;
        const [rows] =
          turn % 2 === 0
            ? await connection.query(`SELECT '${value}' AS value`)
            : await connection.execute('SELECT ? AS value', [value]);
        return { rows, value };
      }),
    );
    (await Promise.all(asks)).forEach(({ rows, value }) => expect(rows).toEqual([{ value }]));
  });

  // A database answers after the deadline. Were its connection used again, the next caller on it
  // would get the late answer as its own.
  it("that come late are nobody else's", async () => {
    const { connect, setFaultsEverywhere, path } = await startStatements({
      kinds: { hasty: { deadlineMilliseconds: 150 } },
    });
    const connection = await connect();
    await connection.query('SELECT 1');
    await setFaultsEverywhere({ serviceMilliseconds: 600 });
    const late = connection.query("/* wisterialift kind=hasty */ SELECT 'late' AS value");
    await expect(late).rejects.toMatchObject({ errno: 9103, sqlState: '40000' });
    await setFaultsEverywhere({ serviceMilliseconds: 0 });
    for (let turn = 0; turn < 5; turn += 1) {
      const [rows] = await connection.query(`SELECT 'turn ${turn}' AS value`);
      expect(rows).toEqual([{ value: `turn ${turn}` }]);
    }
    expect(path.connectionCounts().callers).toBe(1);
  });

  // A replica freezes with a read in it. The engine takes the read away and waits to hear that the
  // attempt is lost before it sends it elsewhere; unheard, the caller waits for its whole deadline.
  it('come from another member when the first one freezes', async () => {
    const { connect, setFaults, records } = await startStatements({
      kinds: { patient: { deadlineMilliseconds: 600_000 } },
    });
    const connection = await connect();
    await connection.query("SET wisterialift_kind = 'patient', wisterialift_roaming = 0");
    await connection.query('SELECT 1');
    const routed = records.findLast((record) => record.name === 'readRouted');
    const member = routed?.name === 'readRouted' ? (routed.member as MemberName) : 'a1';
    await setFaults(member, { frozen: true });
    expect((await connection.query('SELECT 2 AS two'))[0]).toEqual([{ two: 2 }]);
  });

  // The primary applies a write and its answer is lost on the way.
  it('that are lost after a write leave the outcome unknown, never "not run"', async () => {
    const { connect, setFaults, rowsAt } = await startStatements();
    const connection = await connect();
    await setFaults('a1', { loseNextAnswers: 1 });
    const write = connection.query("INSERT INTO tests (name) VALUES ('unsure')");
    await expect(write).rejects.toMatchObject({ errno: 9102, sqlState: '08007' });
    expect(JSON.stringify(await rowsAt('a1', 'SELECT name FROM tests'))).toContain('unsure');
  });

  // An officer's screen reads slowly from a long history. The proxy must neither keep the rest in
  // its memory nor lose a row.
  it('wait at the database while the caller does not read', async () => {
    const rowCount = 200_000;
    let produced = 0;
    const { port: scriptedPort } = await startScriptedDatabase((scripted) => {
      streamRows(scripted, rowCount, (rows) => {
        produced = rows;
      });
    });
    const { connect } = await startStatements({
      scriptedPort,
      kinds: { patient: { deadlineMilliseconds: 600_000 } },
    });
    const { connection } = (await connect()) as unknown as { connection: CallbackConnection };
    const sql = '/* wisterialift kind=patient */ SELECT text FROM big';
    const rows = connection.query(sql).stream({ highWaterMark: 10 });
    let received = 0;
    rows.once('data', () => rows.pause());
    await waitUntil(() => produced > 0);
    await waitUntilSteady(() => produced);
    expect(produced).toBeLessThan(rowCount / 2);
    for await (const row of rows) {
      if ((row as { text: string }).text.length === 200) received += 1;
    }
    expect(received).toBeGreaterThanOrEqual(rowCount - 1);
  });
});

describe('a transaction', () => {
  // Two technicians write at the same time. Each has a transaction of its own, and what one undoes
  // must not take the other's record with it.
  it('never shares its connection with another', async () => {
    const { connect, rowsAt } = await startStatements();
    const [first, second] = await Promise.all([connect(), connect()]);
    await first.beginTransaction();
    await first.query("INSERT INTO tests (name) VALUES ('first')");
    const begun = second.beginTransaction();
    const written = begun.then(() => second.query("INSERT INTO tests (name) VALUES ('second')"));
    await expect(first.query('CREATE TABLE t (id INT)')).rejects.toMatchObject({ errno: 1179 });
    await first.rollback();
    await written;
    await second.commit();
    expect(JSON.stringify(await rowsAt('a1', 'SELECT name FROM tests'))).toMatch(
      /^(?!.*first).*second/,
    );
  });

  // A technician's device goes dark in the middle of a transaction.
  it('is rolled back when its caller disconnects, and its place is free again', async () => {
    const { connect, rowsAt, path } = await startStatements();
    for (let turn = 0; turn < 8; turn += 1) {
      const connection = await connect();
      await connection.beginTransaction();
      await connection.query("INSERT INTO tests (name) VALUES ('gone')");
      connection.destroy();
      await waitUntil(() => path.connectionCounts().callers === 0);
    }
    const connection = await connect();
    await connection.query("INSERT INTO tests (name) VALUES ('stays')");
    expect(JSON.stringify(await rowsAt('a1', 'SELECT name FROM tests'))).toMatch(
      /^(?!.*gone).*stays/,
    );
  });

  // The connection to the database ends in the middle. A statement that then went out by itself would
  // be kept although the rest of its transaction is gone.
  it('that lost its connection takes no more statements until its caller ends it', async () => {
    const { connect, setFaults, rowsAt } = await startStatements({
      kinds: { hasty: { deadlineMilliseconds: 150 } },
    });
    const connection = await connect();
    await connection.beginTransaction();
    await connection.query("INSERT INTO tests (name) VALUES ('lost')");
    await setFaults('a1', { frozen: true });
    const cut = connection.query(
      "/* wisterialift kind=hasty */ INSERT INTO tests (name) VALUES ('cut')",
    );
    await expect(cut).rejects.toMatchObject({ errno: 9103, sqlState: '40000' });
    await setFaults('a1', { frozen: false });
    const alone = connection.query("INSERT INTO tests (name) VALUES ('alone')");
    await expect(alone).rejects.toMatchObject({ errno: 9103 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9103 });
    await connection.query("INSERT INTO tests (name) VALUES ('after')");
    expect(JSON.stringify(await rowsAt('a1', 'SELECT name FROM tests'))).toMatch(
      /^(?!.*(lost|cut|alone)).*after/,
    );
  });

  // Two technicians' writes deadlock, and the database rolls one transaction back as a whole. What its
  // caller still sends would be kept statement by statement, without the part that is gone.
  it('that the database rolled back takes no more statements either', async () => {
    const seen: string[] = [];
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, sql) => {
      seen.push(sql);
      if (sql !== 'UPDATE tests') connection.finishOk({});
      else connection.finishError({ code: 1213, state: '40001', message: 'Deadlock found' });
    });
    const { connect } = await startStatements({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query('UPDATE tests')).rejects.toMatchObject({ errno: 1213 });
    await expect(connection.query('INSERT INTO tests')).rejects.toMatchObject({ errno: 9103 });
    await connection.rollback();
    await connection.query('DELETE FROM tests');
    expect(seen).toEqual(['START TRANSACTION', 'UPDATE tests', 'DELETE FROM tests']);
  });

  // A statement that the proxy takes for harmless makes the database commit. Its writes would count as
  // acknowledged although no majority has confirmed them.
  it('that the database committed before COMMIT has an unknown outcome', async () => {
    const position = Buffer.from([3, 5, 0, 3, ...Buffer.from('1:7')]);
    const ok = Buffer.from([0, 0, 0, 2, 0x40, 0, 0, 0, position.length, ...position]);
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, sql) => {
      if (sql === 'UPDATE tests') connection.finish([toFrames(ok, 1)]);
      else connection.finishOk({});
    });
    const { connect } = await startStatements({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query('UPDATE tests')).rejects.toMatchObject({ errno: 9102 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9103 });
  });

  it('whose COMMIT lost its answer has an unknown outcome', async () => {
    const { connect, setFaults } = await startStatements();
    const connection = await connect();
    await connection.beginTransaction();
    await connection.query("INSERT INTO tests (name) VALUES ('unsure')");
    await setFaults('a1', { loseNextAnswers: 1 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9102, sqlState: '08007' });
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });
});

describe('a session', () => {
  it('gets its token with each write and reads by it', async () => {
    const { connect, setFaults, records } = await startStatements();
    const connection = await connect();
    const [written] = await connection.query("INSERT INTO tests (name) VALUES ('mine')");
    const { stateChanges } = written as unknown as TrackedAnswer;
    const token = stateChanges.systemVariables.wisterialift_token;
    expect(token).toMatch(/^w1\./);
    expect((await connection.query('SELECT @@wisterialift_token AS token'))[0]).toEqual([
      { token },
    ]);

    await setFaults('a2', { replicationLagMilliseconds: 60_000 });
    await connection.query("INSERT INTO tests (name) VALUES ('newer')");
    const other = await connect();
    const newer = (
      await connection.query('SELECT @@wisterialift_token AS token')
    )[0] as RowDataPacket[];
    const comment = `/* wisterialift token=${newer[0]?.token} */`;
    const [rows] = await other.query(`${comment} SELECT COUNT(*) AS count FROM tests`);
    expect(rows).toEqual([{ count: 2 }]);
    expect(records.findLast(({ name }) => name === 'readRouted')).toMatchObject({ by: 'token' });
  });

  it('is told of a bad token, kind or variable before anything runs', async () => {
    const { connect, observations } = await startStatements();
    const connection = await connect();
    const token = encodeToken([{ group: GROUP, position: { term: 1, index: 2 } }]);
    const refused: [string, number][] = [
      [`SET wisterialift_token = '${token.slice(1)}'`, 1231],
      [`/* wisterialift token=${token.slice(0, -1)} */ SELECT 1`, 1231],
      ['/* wisterialift kind=nothing */ SELECT 1', 1231],
      ["SET @wisterialift_kind = 'nothing'", 1231],
      ['SET wisterialift_roaming = maybe', 1231],
      ['SET autocommit = 0', 1235],
      ["SET NAMES 'latin1'", 1235],
      ['SELECT @@nothing', 1193],
      ['SELECT 1; SELECT 2', 1235],
    ];
    for (const [sql, errno] of refused) {
      await expect(connection.query(sql)).rejects.toMatchObject({ errno });
    }
    expect(observations).toEqual([]);
    await connection.query(`SET wisterialift_token = '${token}', NAMES utf8mb4, autocommit = 1`);
  });
});

describe('a change of the configuration', () => {
  // An operator removes a caller that is in the middle of a transaction. The request in flight ends
  // as it was going to; only then is the connection closed.
  it('closes the connection of a removed caller once its work is done', async () => {
    const { connect, path, configuration, rowsAt } = await startStatements();
    const connection = await connect();
    const idle = await connect();
    await connection.beginTransaction();
    await connection.query("INSERT INTO tests (name) VALUES ('finished')");
    const { other } = configuration.callers;
    path.applyConfiguration({ ...configuration, callers: { other: other as Caller } });
    await waitUntil(() => path.connectionCounts().callers === 1);
    await connection.commit();
    await waitUntil(() => path.connectionCounts().callers === 0);
    await expect(idle.query('SELECT 1')).rejects.toBeDefined();
    await expect(connect()).rejects.toMatchObject({ errno: 1045 });
    expect(JSON.stringify(await rowsAt('a1', 'SELECT name FROM tests'))).toContain('finished');
  });
});

describe('a graceful stop', () => {
  // A planned stop while callers work. Statements and transactions in flight, and statements that were
  // on their way, end with their answers. A caller that goes on and on is told "not run" in place of
  // an answer; it never sees a connection that breaks.
  it('cuts no request in flight', async () => {
    const { connect, path, setFaultsEverywhere, rowsAt } = await startStatements();
    const [reader, writer, busy] = await Promise.all([connect(), connect(), connect()]);
    await writer.beginTransaction();
    await setFaultsEverywhere({ serviceMilliseconds: 50 });
    const read = reader.query("SELECT 'whole' AS answer");
    const drained = path.drain();
    const lastAnswer = askUntilRefused(busy);
    await writer.query("INSERT INTO tests (name) VALUES ('kept')");
    await writer.commit();
    expect((await read)[0]).toEqual([{ answer: 'whole' }]);
    expect(await lastAnswer).toMatchObject({ errno: 9101, sqlState: '08004' });
    await drained;
    expect(path.connectionCounts().callers).toBe(0);
    expect(JSON.stringify(await rowsAt('a1', 'SELECT name FROM tests'))).toContain('kept');
    await expect(connect()).rejects.toMatchObject({ code: 'ECONNREFUSED' });
  });
});

async function askUntilRefused(connection: Connection): Promise<unknown> {
  for (;;) {
    try {
      await connection.query('SELECT 1');
    } catch (error) {
      return error;
    }
  }
}
