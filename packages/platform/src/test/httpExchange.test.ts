import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createHttpExchange } from '../index';
import type { HttpExchange } from '../index';

const SHORT_MILLISECONDS = 200;
const LONG_MILLISECONDS = 20_000;
const CALLS = 4;

let server: Server;
let exchange: HttpExchange;
let silent: Set<Socket>;
let held: (() => void)[];

const call = (path: string, timeoutMilliseconds: number) =>
  exchange.send({ method: 'GET', path, timeoutMilliseconds });

beforeEach(async () => {
  silent = new Set();
  held = [];
  server = createServer((request, response) => {
    if (silent.has(request.socket)) return;
    const answer = () => response.end('{}');
    if (request.url === '/held') held.push(answer);
    else answer();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  exchange = createHttpExchange({ address: `http://127.0.0.1:${port}` });
});

afterEach(async () => {
  exchange.close();
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
});

/** Leaves several connections open and idle, which say nothing from then on. */
async function openSilentConnections(): Promise<void> {
  const opened: Socket[] = [];
  const note = (socket: Socket) => opened.push(socket);
  server.on('connection', note);
  const calls = Array.from({ length: CALLS }, () => call('/held', LONG_MILLISECONDS));
  while (held.length < CALLS) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  for (const answer of held) answer();
  await Promise.all(calls);
  server.off('connection', note);
  for (const socket of opened) silent.add(socket);
}

describe('connections that went silent', () => {
  it('cost one call its time limit, not each call after the other', async () => {
    // Guards against knowledge of the store that is older by a time limit for each idle connection.
    await openSilentConnections();
    await expect(call('/first', SHORT_MILLISECONDS)).rejects.toThrow('no answer within');
    const next = await call('/second', SHORT_MILLISECONDS).catch((error: Error) => error);
    expect(next).toMatchObject({ code: 200 });
  });
});
