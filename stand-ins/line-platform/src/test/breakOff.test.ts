import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, it } from 'vitest';
import { breakOff } from '../index';

it('breaks off a connection whose end is on its way', async () => {
  // Guards against a reset that the runtime refuses, after which the process never ends.
  const server = createServer({ allowHalfOpen: true });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const far = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const [near] = (await once(server, 'connection')) as [Socket];
  const errors: Error[] = [];
  near.on('error', (error) => errors.push(error));
  near.end();
  breakOff(near);
  await once(near, 'close');
  far.destroy();
  server.close();
  expect(errors).toEqual([]);
});
