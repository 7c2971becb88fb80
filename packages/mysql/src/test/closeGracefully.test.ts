import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import { closeGracefully } from '../lib/caller/callerConnection';

/** More than the buffers of both systems hold. */
const ANSWER_BYTES = 40_000_000;

/** Longer than a connection lingers after everything was sent. */
const PAUSE_MILLISECONDS = 1_500;

const server = createServer();

afterEach(() => {
  server.close();
});

it('a connection that is closed gracefully sends a slow caller the rest of its answer', async () => {
  // Guards against answers that are cut because a stop closes connections with unsent data.
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const caller = connect({ host: '127.0.0.1', port });
  const [stream] = await once(server, 'connection');
  let received = 0;
  caller.on('data', (chunk) => {
    received += chunk.length;
  });
  caller.pause();
  stream.write(Buffer.alloc(ANSWER_BYTES));
  closeGracefully({ stream } as Parameters<typeof closeGracefully>[0], undefined, 1);
  await delay(PAUSE_MILLISECONDS);
  caller.resume();
  await once(caller, 'close');
  expect(received).toBe(ANSWER_BYTES);
});
