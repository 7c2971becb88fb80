import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createHttpClient } from '../index';
import type { HttpClient } from '../index';

const SHORT_TIMEOUT_MILLISECONDS = 200;
const LONG_TIMEOUT_MILLISECONDS = 20_000;
const CONNECTION_COUNT = 4;

let server: Server;
let client: HttpClient;
let silentSockets: Set<Socket>;
let heldResponses: (() => void)[];

const get = (path: string, timeoutMilliseconds: number) =>
  client.send({ method: 'GET', path, timeoutMilliseconds });

beforeEach(async () => {
  silentSockets = new Set();
  heldResponses = [];
  server = createServer((request, response) => {
    if (silentSockets.has(request.socket)) return;
    const answer = () => response.end('{}');
    if (request.url === '/held') heldResponses.push(answer);
    else answer();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  client = createHttpClient({ address: `http://127.0.0.1:${port}` });
});

afterEach(async () => {
  client.close();
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
});

/** Opens several connections that are idle and from then on never answer. */
async function openSilentConnections(): Promise<void> {
  const opened: Socket[] = [];
  const recordSocket = (socket: Socket) => opened.push(socket);
  server.on('connection', recordSocket);
  const calls = Array.from({ length: CONNECTION_COUNT }, () =>
    get('/held', LONG_TIMEOUT_MILLISECONDS),
  );
  while (heldResponses.length < CONNECTION_COUNT) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  for (const answer of heldResponses) answer();
  await Promise.all(calls);
  server.off('connection', recordSocket);
  for (const socket of opened) silentSockets.add(socket);
}

describe('dead idle connections', () => {
  it('make one request time out, not each later one', async () => {
    // Guards against stale data: each dead connection would delay the next read by a timeout.
    await openSilentConnections();
    await expect(get('/first', SHORT_TIMEOUT_MILLISECONDS)).rejects.toThrow('no answer within');
    const next = await get('/second', SHORT_TIMEOUT_MILLISECONDS).catch((error: Error) => error);
    expect(next).toMatchObject({ code: 200 });
  });
});
