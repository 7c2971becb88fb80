import { describe, expect, it, onTestFinished, vi } from 'vitest';
import { encodeToken } from '@wisterialift/core';
import { toFrames } from '@wisterialift/mysql';
import type { Caller } from '@wisterialift/schema';
import type { Connection as CallbackConnection, RowDataPacket } from 'mysql2';
import type { Connection } from 'mysql2/promise';
import { blockProcess } from './blockProcess';
import {
  GROUP,
  OTHER_GROUP,
  startStatementPath,
  waitUntil,
  waitUntilStable,
  type MemberName,
} from './statementsFixture';
import { startScriptedDatabase, sendRows, sendRowsSlowly } from './scriptedDatabase';

const createPacketHeader = (length: number, sequence: number): Buffer => {
  const buffer = Buffer.alloc(4);
  buffer.writeUIntLE(length, 0, 3);
  buffer.writeUInt8(sequence, 3);
  return buffer;
};

/** Login payload of an unknown caller: flags, packet size, character set, name, no password. */
const LOGIN = Buffer.concat([
  Buffer.from([0x00, 0x82, 0x00, 0x00, 0, 0, 0, 1, 45]),
  Buffer.alloc(23),
  Buffer.from('nobody\0\0'),
]);

/** Session-track data as parsed by mysql2, whose type declarations omit it. */
interface SessionTrackAnswer {
  stateChanges: { systemVariables: Record<string, string> };
}

const waitUntilClosed = (socket: { once: (event: 'close', listener: () => void) => unknown }) =>
  new Promise<void>((resolve) => {
    socket.once('close', resolve);
  });

describe('a login', () => {
  it('fails with the error code of the reason', async () => {
    const { connect, port } = await startStatementPath({ connectionLimit: 2 });
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

  // A login without a group must not give access to all groups.
  it('does not allow other groups afterwards', async () => {
    const { connect } = await startStatementPath();
    const connection = await connect({ database: undefined });
    await expect(connection.query('SELECT 1')).rejects.toMatchObject({ errno: 1046 });
    await expect(connection.query(`USE \`${OTHER_GROUP}\``)).rejects.toMatchObject({ errno: 1044 });
    await expect(connection.query('GROUP FENCE TERM 9')).rejects.toMatchObject({ errno: 1235 });
    await connection.query(`USE \`${GROUP}\``);
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });
});

describe('an invalid packet', () => {
  // Guards against running garbage as statements and against buffering as many bytes as a packet header
  // announces.
  it.each([
    ['garbage instead of a login', Buffer.alloc(3_000, 0xff), 1153],
    [
      'a login with a wrong sequence number',
      Buffer.concat([createPacketHeader(LOGIN.length, 7), LOGIN]),
      undefined,
    ],
    ['a truncated login', Buffer.concat([createPacketHeader(3, 1), Buffer.from('abc')]), undefined],
    ['a login header with a length of 16 MB', createPacketHeader(0xff_ffff, 1), 1153],
    ['an empty login', createPacketHeader(0, 1), undefined],
  ])('closes its own connection alone: %s', async (_name, bytes, errno) => {
    const { connect, connectRaw } = await startStatementPath();
    const connection = await connect();
    const socket = await connectRaw();
    const answers: Buffer[] = [];
    socket.on('data', (answer) => answers.push(answer));
    socket.write(bytes);
    await waitUntilClosed(socket);
    expect(answers.map((answer) => answer.readUInt16LE(5))).toEqual(errno ? [errno] : []);
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });

  it.each([
    [
      'a wrong sequence number',
      Buffer.concat([createPacketHeader(1, 5), Buffer.from([0x0e])]),
      1835,
    ],
    ['an empty command', createPacketHeader(0, 0), 1835],
    [
      'a truncated execute',
      Buffer.concat([createPacketHeader(2, 0), Buffer.from([0x17, 1])]),
      1835,
    ],
    ['a command header with a length above the limit', createPacketHeader(70_000, 0), 1153],
  ])('closes its own connection alone: %s', async (_name, bytes, errno) => {
    const { connect } = await startStatementPath({ limits: { maximumPacketBytes: 65_536 } });
    const connection = await connect();
    const faulty = await connect();
    const errors: Error[] = [];
    faulty.on('error', (error: Error) => errors.push(error));
    const { stream } = (faulty as unknown as { connection: { stream: import('node:net').Socket } })
      .connection;
    const ended = waitUntilClosed(stream);
    stream.write(bytes);
    await ended;
    expect(errors).toMatchObject([{ code: errno }]);
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });
});

describe('answers', () => {
  // Callers share upstream connections, so an answer could reach the wrong caller.
  it('reach the caller that sent the query, in any order of completion', async () => {
    const { connect } = await startStatementPath();
    const connections = await Promise.all(Array.from({ length: 12 }, () => connect()));
    const queries = connections.flatMap((connection, caller) =>
      Array.from({ length: 20 }, async (_, turn) => {
        const value = `${caller}-${turn}-${'x'.repeat((caller * 37 * turn) % 9_000)}`;
        const [rows] =
          turn % 2 === 0
            ? await connection.query(`SELECT '${value}' AS value`)
            : await connection.execute('SELECT ? AS value', [value]);
        return { rows, value };
      }),
    );
    (await Promise.all(queries)).forEach(({ rows, value }) => expect(rows).toEqual([{ value }]));
  });

  // If the upstream connection were reused, its next statement would receive the late answer.
  it('that arrive after the deadline do not reach a later statement', async () => {
    const { connect, setFaultsOnAllMembers, path } = await startStatementPath({
      kinds: { short: { deadlineMilliseconds: 150 } },
    });
    const connection = await connect();
    await connection.query('SELECT 1');
    await setFaultsOnAllMembers({ serviceMilliseconds: 600 });
    const late = connection.query("/* wisterialift kind=short */ SELECT 'late' AS value");
    await expect(late).rejects.toMatchObject({ errno: 9103, sqlState: '40000' });
    await setFaultsOnAllMembers({ serviceMilliseconds: 0 });
    for (let turn = 0; turn < 5; turn += 1) {
      const [rows] = await connection.query(`SELECT 'turn ${turn}' AS value`);
      expect(rows).toEqual([{ value: `turn ${turn}` }]);
    }
    expect(path.connectionCounts().callers).toBe(1);
  });

  it.each(['outside', 'within'])(
    'that arrive while the process stands still are delivered after the deadline, %s a transaction',
    async (place) => {
      // Guards against discarding answers that lie in the buffer of a socket.
      const { port: scriptedPort } = await startScriptedDatabase((scripted, sql) => {
        if (!sql.includes('text')) {
          scripted.connection.finishOk({});
          return;
        }
        blockProcess(400);
        sendRows(scripted, 10, () => {});
      });
      const { connect } = await startStatementPath({
        scriptedPort,
        kinds: { short: { deadlineMilliseconds: 150 } },
      });
      const connection = await connect();
      if (place === 'within') await connection.beginTransaction();
      const [rows] = await connection.query('/* wisterialift kind=short */ SELECT text FROM big');
      expect(rows).toHaveLength(10);
    },
  );

  it.each(['outside', 'within'])(
    'that flow for longer than the time limit are delivered whole, %s a transaction',
    async (place) => {
      // Guards against discarding a long answer whose rows arrive.
      const { port: scriptedPort } = await startScriptedDatabase((scripted, sql) => {
        if (sql.includes('text')) sendRowsSlowly(scripted, { count: 8, pauseMilliseconds: 100 });
        else scripted.connection.finishOk({});
      });
      const { connect } = await startStatementPath({
        scriptedPort,
        kinds: { short: { deadlineMilliseconds: 400 } },
      });
      const connection = await connect();
      if (place === 'within') await connection.beginTransaction();
      const [rows] = await connection.query('/* wisterialift kind=short */ SELECT text FROM big');
      expect(rows).toHaveLength(8);
    },
  );

  // The engine retries a read only after the group task has reported the first attempt as lost.
  it('come from another member if the first one stops responding', async () => {
    const { connect, setFaults, records } = await startStatementPath({
      kinds: { long: { deadlineMilliseconds: 600_000 } },
    });
    const connection = await connect();
    await connection.query("SET wisterialift_kind = 'long', wisterialift_roaming = 0");
    await connection.query('SELECT 1');
    const routed = records.findLast((record) => record.name === 'readRouted');
    const member = routed?.name === 'readRouted' ? (routed.member as MemberName) : 'a1';
    await setFaults(member, { frozen: true });
    expect((await connection.query('SELECT 2 AS two'))[0]).toEqual([{ two: 2 }]);
  });

  // Guards against ages by a clock that stands still while the machine is suspended.
  it('of a stated age are not older after suspensions, which only the time of day shows', async () => {
    const { connect, records } = await startStatementPath({
      kinds: { aged: { maximumStalenessMilliseconds: 5_000 } },
    });
    const connection = await connect();
    await connection.query("SET wisterialift_kind = 'aged', wisterialift_roaming = 0");
    await connection.query('SELECT 1');
    let timeOfDay = Date.now();
    const timeOfDayReader = vi.spyOn(Date, 'now').mockImplementation(() => {
      timeOfDay += 10_000;
      return timeOfDay;
    });
    onTestFinished(() => timeOfDayReader.mockRestore());
    await connection.query('SELECT 1');
    const routes = records.flatMap((record) => (record.name === 'readRouted' ? [record.by] : []));
    expect(routes).toEqual(['staleness', 'token']);
  });

  // The primary applies the write, but its answer does not reach the proxy.
  it('lost after a write are reported as unknown, not as "not run"', async () => {
    const { connect, setFaults, readRows } = await startStatementPath();
    const connection = await connect();
    await setFaults('a1', { loseNextAnswers: 1 });
    const write = connection.query("INSERT INTO tests (name) VALUES ('unsure')");
    await expect(write).rejects.toMatchObject({ errno: 9102, sqlState: '08007' });
    expect(JSON.stringify(await readRows('a1', 'SELECT name FROM tests'))).toContain('unsure');
  });

  // Backpressure: a slow caller must not make the proxy buffer the whole result or lose rows.
  it('pause at the database while the caller does not read', async () => {
    const rowCount = 200_000;
    let sentCount = 0;
    const { port: scriptedPort } = await startScriptedDatabase((scripted) => {
      sendRows(scripted, rowCount, (rows) => {
        sentCount = rows;
      });
    });
    const { connect } = await startStatementPath({
      scriptedPort,
      kinds: { long: { deadlineMilliseconds: 600_000 } },
    });
    const { connection } = (await connect()) as unknown as { connection: CallbackConnection };
    const sql = '/* wisterialift kind=long */ SELECT text FROM big';
    const rows = connection.query(sql).stream({ highWaterMark: 10 });
    let received = 0;
    rows.once('data', () => rows.pause());
    await waitUntil(() => sentCount > 0);
    await waitUntilStable(() => sentCount);
    expect(sentCount).toBeLessThan(rowCount / 2);
    for await (const row of rows) {
      if ((row as { text: string }).text.length === 200) received += 1;
    }
    // The first row may have been consumed by the 'data' listener.
    expect(received).toBeGreaterThanOrEqual(rowCount - 1);
  });
});

describe('a transaction', () => {
  // The rollback of one transaction must not affect a concurrent one.
  it('has exclusive use of its connection', async () => {
    const { connect, readRows } = await startStatementPath();
    const [first, second] = await Promise.all([connect(), connect()]);
    await first.beginTransaction();
    await first.query("INSERT INTO tests (name) VALUES ('first')");
    const secondBegin = second.beginTransaction();
    const secondInsert = secondBegin.then(() =>
      second.query("INSERT INTO tests (name) VALUES ('second')"),
    );
    await expect(first.query('CREATE TABLE t (id INT)')).rejects.toMatchObject({ errno: 1179 });
    await first.rollback();
    await secondInsert;
    await second.commit();
    expect(JSON.stringify(await readRows('a1', 'SELECT name FROM tests'))).toMatch(
      /^(?!.*first).*second/,
    );
  });

  it('is rolled back and frees its connection when its caller disconnects', async () => {
    const { connect, readRows, path } = await startStatementPath();
    for (let turn = 0; turn < 8; turn += 1) {
      const connection = await connect();
      await connection.beginTransaction();
      await connection.query("INSERT INTO tests (name) VALUES ('gone')");
      connection.destroy();
      await waitUntil(() => path.connectionCounts().callers === 0);
    }
    const connection = await connect();
    await connection.query("INSERT INTO tests (name) VALUES ('stays')");
    expect(JSON.stringify(await readRows('a1', 'SELECT name FROM tests'))).toMatch(
      /^(?!.*gone).*stays/,
    );
  });

  // Otherwise later statements would be committed without the part that was rolled back.
  it('whose statement exceeded its deadline refuses statements until its caller ends it', async () => {
    const { connect, setFaults, readRows } = await startStatementPath({
      kinds: { short: { deadlineMilliseconds: 150 } },
    });
    const connection = await connect();
    await connection.beginTransaction();
    await connection.query("INSERT INTO tests (name) VALUES ('lost')");
    await setFaults('a1', { frozen: true });
    const failedInsert = connection.query(
      "/* wisterialift kind=short */ INSERT INTO tests (name) VALUES ('cut')",
    );
    await expect(failedInsert).rejects.toMatchObject({ errno: 9103, sqlState: '40000' });
    await setFaults('a1', { frozen: false });
    const alone = connection.query("INSERT INTO tests (name) VALUES ('alone')");
    await expect(alone).rejects.toMatchObject({ errno: 9103 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9103 });
    await connection.query("INSERT INTO tests (name) VALUES ('after')");
    expect(JSON.stringify(await readRows('a1', 'SELECT name FROM tests'))).toMatch(
      /^(?!.*(lost|cut|alone)).*after/,
    );
  });

  // After a deadlock error, later statements would be committed without the part that was rolled back.
  it('that the database rolled back refuses statements until its caller ends it', async () => {
    const seen: string[] = [];
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, sql) => {
      seen.push(sql);
      if (sql !== 'UPDATE tests') connection.finishOk({});
      else connection.finishError({ code: 1213, state: '40001', message: 'Deadlock found' });
    });
    const { connect } = await startStatementPath({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query('UPDATE tests')).rejects.toMatchObject({ errno: 1213 });
    await expect(connection.query('INSERT INTO tests')).rejects.toMatchObject({ errno: 9103 });
    await connection.rollback();
    await connection.query('DELETE FROM tests');
    expect(seen).toEqual(['START TRANSACTION', 'UPDATE tests', 'DELETE FROM tests']);
  });

  // An implicit commit would otherwise be acknowledged without confirmation by a majority.
  it('that the database committed before COMMIT has an unknown outcome', async () => {
    const position = Buffer.from([3, 5, 0, 3, ...Buffer.from('1:7')]);
    const ok = Buffer.from([0, 0, 0, 2, 0x40, 0, 0, 0, position.length, ...position]);
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, sql) => {
      if (sql === 'UPDATE tests') connection.finish([toFrames(ok, 1)]);
      else connection.finishOk({});
    });
    const { connect } = await startStatementPath({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query('UPDATE tests')).rejects.toMatchObject({ errno: 9102 });
    await expect(connection.query('DELETE FROM tests')).rejects.toMatchObject({ errno: 9102 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9102 });
  });

  // A procedure may commit; a caller that is told of a roll-back would run it again.
  it.each([
    ['CALL move_lamp(7)', 9102],
    ['UPDATE tests', 9103],
    ['SAVEPOINT before_it', 9103],
  ])('that loses the answer to %s is answered %i, and so is its COMMIT', async (sql, errno) => {
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, received) => {
      if (received === sql) connection.destroy();
      else connection.finishOk({});
    });
    const { connect } = await startStatementPath({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query(sql)).rejects.toMatchObject({ errno });
    await expect(connection.commit()).rejects.toMatchObject({ errno });
  });

  // An OK would tell the caller of a roll-back.
  it('that a procedure may have committed is not told to be rolled back', async () => {
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, sql) => {
      if (sql.startsWith('CALL')) connection.destroy();
      else connection.finishOk({});
    });
    const { connect } = await startStatementPath({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query('CALL move_lamp(7)')).rejects.toMatchObject({ errno: 9102 });
    await expect(connection.rollback()).rejects.toMatchObject({ errno: 9102 });
    await connection.rollback();
  });

  it.each([
    ['CALL move_lamp(7)', 9102],
    ['UPDATE tests', 9103],
  ])('that a deadlock in %s ended has a COMMIT that fails with %i', async (sql, errno) => {
    const deadlock = { code: 1213, state: '40001', message: 'Deadlock found' };
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, received) => {
      if (received === sql) connection.finishError(deadlock);
      else connection.finishOk({});
    });
    const { connect } = await startStatementPath({ scriptedPort });
    const connection = await connect();
    await connection.beginTransaction();
    await expect(connection.query(sql)).rejects.toMatchObject({ errno: 1213 });
    await expect(connection.commit()).rejects.toMatchObject({ errno });
  });

  it('that runs out of time in a procedure has an unknown outcome', async () => {
    const { port: scriptedPort } = await startScriptedDatabase(({ connection }, sql) => {
      if (!sql.includes('CALL')) connection.finishOk({});
    });
    const kinds = { short: { deadlineMilliseconds: 300 } };
    const { connect } = await startStatementPath({ scriptedPort, kinds });
    const connection = await connect();
    await connection.beginTransaction();
    const call = connection.query('/* wisterialift kind=short */ CALL move_lamp(7)');
    await expect(call).rejects.toMatchObject({ errno: 9102 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9102 });
  });

  it('whose COMMIT lost its answer has an unknown outcome', async () => {
    const { connect, setFaults } = await startStatementPath();
    const connection = await connect();
    await connection.beginTransaction();
    await connection.query("INSERT INTO tests (name) VALUES ('unsure')");
    await setFaults('a1', { loseNextAnswers: 1 });
    await expect(connection.commit()).rejects.toMatchObject({ errno: 9102, sqlState: '08007' });
    expect((await connection.query('SELECT 1 AS one'))[0]).toEqual([{ one: 1 }]);
  });
});

describe('a session', () => {
  it('receives a token with each write and reads at least that position', async () => {
    const { connect, setFaults, records } = await startStatementPath();
    const connection = await connect();
    const [written] = await connection.query("INSERT INTO tests (name) VALUES ('mine')");
    const { stateChanges } = written as unknown as SessionTrackAnswer;
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

  it('rejects an invalid token, kind or variable before a request is created', async () => {
    const { connect, observations } = await startStatementPath();
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
  it('closes the connection of a removed caller after its open transaction', async () => {
    const { connect, path, configuration, readRows } = await startStatementPath();
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
    expect(JSON.stringify(await readRows('a1', 'SELECT name FROM tests'))).toContain('finished');
  });
});

describe('a graceful stop', () => {
  // Requests and transactions in flight complete; later statements fail with "not run" instead of a
  // connection error.
  it('does not interrupt requests in flight', async () => {
    const { connect, path, setFaultsOnAllMembers, readRows } = await startStatementPath();
    const [reader, writer, busy] = await Promise.all([connect(), connect(), connect()]);
    await writer.beginTransaction();
    await setFaultsOnAllMembers({ serviceMilliseconds: 50 });
    const read = reader.query("SELECT 'whole' AS answer");
    const drained = path.drain();
    const lastAnswer = queryUntilRefused(busy);
    await writer.query("INSERT INTO tests (name) VALUES ('kept')");
    await writer.commit();
    expect((await read)[0]).toEqual([{ answer: 'whole' }]);
    expect(await lastAnswer).toMatchObject({ errno: 9101, sqlState: '08004' });
    await drained;
    expect(path.connectionCounts().callers).toBe(0);
    expect(JSON.stringify(await readRows('a1', 'SELECT name FROM tests'))).toContain('kept');
    await expect(connect()).rejects.toMatchObject({ code: 'ECONNREFUSED' });
  });
});

async function queryUntilRefused(connection: Connection): Promise<unknown> {
  for (;;) {
    try {
      await connection.query('SELECT 1');
    } catch (error) {
      return error;
    }
  }
}
