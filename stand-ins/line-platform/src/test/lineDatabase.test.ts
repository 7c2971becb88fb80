import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createLineGroup, startLineDatabase } from '../index';
import type { LineDatabase, LineGroup } from '../index';

const GROUP = 'group-1';

let group: LineGroup;
let database: LineDatabase;
let socket: Socket | undefined;

beforeEach(async () => {
  group = createLineGroup({ name: GROUP, ids: ['a'] });
  database = await startLineDatabase(group, group.members.get('a')!);
});

afterEach(async () => {
  socket?.destroy();
  await database.close();
});

const getPort = () => Number(database.address.split(':')[1]);

async function openConnection(): Promise<Socket> {
  socket = connect({ host: '127.0.0.1', port: getPort() });
  socket.setEncoding('latin1');
  await once(socket, 'connect');
  return socket;
}

it('takes connections and answers nothing while it is silent', async () => {
  const connection = await openConnection();
  connection.write(`STARTUP ${GROUP} tester\r\n`);
  expect(await once(connection, 'data')).toEqual(['READY I 1.1\r\n']);
  group.members.get('a')!.faults.isSilent = true;
  const answers: string[] = [];
  connection.on('data', (text: string) => answers.push(text));
  connection.write('QUERY 1 WRITE lamp-1 v1\r\n');
  const another = await openConnection();
  another.on('data', (text: string) => answers.push(text));
  another.write(`STARTUP ${GROUP} tester\r\n`);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  expect(answers).toEqual([]);
  expect(database.runs).toEqual([]);
  connection.destroy();
});

it('starts again at the port of a database that is down', async () => {
  const port = getPort();
  await database.crash();
  const member = group.restartAs('a', 'b');
  database = await startLineDatabase(group, member, { port });
  expect(getPort()).toBe(port);
  const connection = await openConnection();
  connection.write(`STARTUP ${GROUP} tester b\r\n`);
  expect(await once(connection, 'data')).toEqual(['READY I 1.1\r\n']);
});

async function ask(connection: Socket, message: string): Promise<string> {
  connection.write(`${message}\r\n`, 'latin1');
  let answer = '';
  while (!/READY .*\r\n$/.test(answer)) answer += (await once(connection, 'data'))[0];
  return answer.split('\r\n')[0]!;
}

it('tells what ran with the fields of its line and the shape behind its name', async () => {
  // Guards against checks that cannot see another shape or moved arguments.
  const connection = await openConnection();
  await ask(connection, `STARTUP ${GROUP} tester`);
  await ask(connection, 'QUERY - PREPARE s1 WRITE q15 WRITE dn');
  await ask(connection, 'QUERY - SET __proto__ a  b');
  await ask(connection, 'QUERY 7 EXECUTE s1 lamp-1 a  b ');
  expect(database.runs).toMatchObject([
    {
      id: '7',
      item: 'lamp-1',
      data: 'a  b ',
      prepared: { access: 'WRITE', shape: 'q15 WRITE dn' },
      values: Object.fromEntries([['__proto__', 'a  b']]),
    },
  ]);
  expect(group.members.get('a')!.log.at(-1)).toMatchObject({ item: 'lamp-1', value: 'a  b ' });
});

it.each(['EXECUTE s1 lamp-1', 'EXECUTE s2 lamp-1 data', 'WRITE lamp-1', 'DROP lamp-1'])(
  'answers MALFORMED and counts a statement with fields too few or too many: %s',
  async (text) => {
    const connection = await openConnection();
    await ask(connection, `STARTUP ${GROUP} tester`);
    await ask(connection, 'QUERY - PREPARE s1 WRITE q1');
    await ask(connection, 'QUERY - PREPARE s2 READ q1');
    expect(await ask(connection, `QUERY 7 ${text}`)).toBe('ERROR MALFORMED');
    expect(database.rejections).toEqual([{ reason: 'malformed', id: '7', text }]);
    expect(database.runs).toEqual([]);
  },
);

it.each([
  ['unreadable', 'DEMOTE 9'],
  ['unreadable', 'QUERY 7'],
  ['unreadable', `STARTUP ${GROUP} tester`],
  ['tooLong', `QUERY 7 READ ${'x'.repeat(1_048_576)}`],
])('ends a connection with a message that is %s', async (reason, message) => {
  const connection = await openConnection();
  await ask(connection, `STARTUP ${GROUP} tester`);
  connection.write(`${message}\r\n`);
  await once(connection, 'end');
  expect(database.rejections).toMatchObject([{ reason }]);
  expect(database.runs).toEqual([]);
});

it('runs nothing that follows a refused start', async () => {
  const connection = await openConnection();
  connection.write(`STARTUP ${GROUP} tester zz\r\nQUERY - DEMOTE 9\r\n`);
  connection.resume();
  await once(connection, 'end');
  expect(group.members.get('a')!.role).toBe('primary');
});
