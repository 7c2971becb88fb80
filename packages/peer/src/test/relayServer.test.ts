import { afterEach, expect, it, vi } from 'vitest';
import { createRelayClient, createRelayServer } from '../relay';
import type { RelayResponse, RelayServer } from '../relay';

const WAIT_OPTIONS = { timeout: 20_000 };

/** More than a stream takes while its client does not read. */
const RESPONSES = 50;

const RESPONSE: RelayResponse = {
  number: 1,
  isLeaving: false,
  version: 1,
  answer: undefined,
  configurationJson: 'x'.repeat(1_000_000),
  isOutOfReach: false,
  permits: undefined,
  load: undefined,
  probedLogEnd: undefined,
  isConfigurationCurrent: false,
};

let server: RelayServer;

afterEach(() => server.stop());

/** Starts a server that responds to the first request of a stream, and sends that request. */
async function respondOnce() {
  let respond: ((response: RelayResponse) => void) | undefined;
  let received = 0;
  server = createRelayServer({
    host: '127.0.0.1',
    port: 0,
    accept: (respondWith) => {
      respond = respondWith;
      return { onRequest: () => undefined, onEnd: () => undefined };
    },
  });
  const port = await server.start();
  const stream = createRelayClient().open(`127.0.0.1:${port}`, {
    onResponse: () => {
      received += 1;
    },
    onLost: () => undefined,
  });
  await vi.waitUntil(() => respond !== undefined, WAIT_OPTIONS);
  for (let count = 0; count < RESPONSES; count += 1) respond!(RESPONSE);
  return { stream, countReceived: () => received };
}

it('a server has unsent data until its responses were handed to the network', async () => {
  // Guards against a stop that cuts the responses of statements that were relayed to it.
  const { stream, countReceived } = await respondOnce();
  expect(server.hasUnsentData()).toBe(true);
  await vi.waitUntil(() => !server.hasUnsentData(), WAIT_OPTIONS);
  await vi.waitUntil(() => countReceived() === RESPONSES, WAIT_OPTIONS);
  stream.close();
});

it('a server has no unsent data for a stream that has ended', async () => {
  // Guards against a stop that waits for an instance which has gone.
  const { stream } = await respondOnce();
  expect(server.hasUnsentData()).toBe(true);
  stream.close();
  await vi.waitUntil(() => !server.hasUnsentData(), WAIT_OPTIONS);
});
