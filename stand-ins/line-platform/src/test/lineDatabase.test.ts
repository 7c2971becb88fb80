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
