import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { Duplex } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { closeGracefully } from '../lib/caller/callerConnection';

/** More than the buffers of both systems hold. */
const ANSWER_BYTES = 40_000_000;

/** Longer than a connection lingers after everything was sent. */
const PAUSE_MILLISECONDS = 1_500;

const server = createServer();

afterEach(() => {
  server.close();
  vi.useRealTimers();
});

const close = (stream: Duplex) =>
  closeGracefully({ stream } as unknown as Parameters<typeof closeGracefully>[0], undefined, 1);

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
  close(stream);
  await delay(PAUSE_MILLISECONDS);
  caller.resume();
  await once(caller, 'close');
  expect(received).toBe(ANSWER_BYTES);
});

describe('a connection that is closed gracefully', () => {
  /** Closes a stream with two packets to send; returns what lets its caller take the next one. */
  function closeWithPackets() {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] });
    const pending: (() => void)[] = [];
    const write = (_chunk: unknown, _encoding: unknown, onTaken: () => void) => {
      pending.push(onTaken);
    };
    const stream = new Duplex({ read: () => {}, write });
    for (const packet of ['first', 'second']) stream.write(packet);
    close(stream);
    return { stream, take: () => pending.shift()!() };
  }

  it('is destroyed once its caller has taken nothing for 10 s', async () => {
    // Guards against connections that stay open for callers which never read.
    const { stream, take } = closeWithPackets();
    await vi.advanceTimersByTimeAsync(9_900);
    take();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(stream.destroyed).toBe(false);
    await vi.advanceTimersByTimeAsync(200);
    expect(stream.destroyed).toBe(true);
  });

  it('is destroyed 1 s after its caller has taken everything', async () => {
    const { stream, take } = closeWithPackets();
    take();
    await vi.advanceTimersByTimeAsync(1);
    take();
    await vi.advanceTimersByTimeAsync(900);
    expect(stream.destroyed).toBe(false);
    await vi.advanceTimersByTimeAsync(200);
    expect(stream.destroyed).toBe(true);
  });
});
