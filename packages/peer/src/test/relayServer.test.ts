import { afterEach, expect, it, vi } from 'vitest';
import { createRelayClient, createRelayServer } from '../relay';
import type { RelayRequest, RelayResponse, RelayServer } from '../relay';

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

const createRequest = (configurationJson: string): RelayRequest => ({
  number: 1,
  statement: undefined,
  rolledBackTransaction: 0,
  wantsConfiguration: false,
  configurationJson,
  permits: undefined,
  primaryProbe: undefined,
});

let server: RelayServer;

afterEach(() => server.stop());

it('messages of any size arrive, and their stream stays open', async () => {
  // Guards against an answer with many rows that ends all statements and transactions of its stream.
  const sizes: number[] = [];
  const onLost = vi.fn();
  server = createRelayServer({
    host: '127.0.0.1',
    port: 0,
    accept: (respond) => ({
      onRequest: ({ configurationJson }) => respond({ ...RESPONSE, configurationJson }),
      onEnd: () => undefined,
    }),
  });
  const stream = createRelayClient().open(`127.0.0.1:${await server.start()}`, {
    onResponse: ({ configurationJson }) => sizes.push(configurationJson.length),
    onLost,
  });
  for (const size of [10_000_000, 1]) stream.send(createRequest('x'.repeat(size)));
  await vi.waitUntil(() => sizes.length === 2 || onLost.mock.calls.length > 0, WAIT_OPTIONS);
  expect({ sizes, losses: onLost.mock.calls }).toEqual({ sizes: [10_000_000, 1], losses: [] });
  stream.close();
});

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
