import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createPlatformStandIn } from '@wisterialift/stand-in-platform';
import type { PlatformStandIn } from '@wisterialift/stand-in-platform';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  PlatformAnswerError,
  PlatformUnavailableError,
  VersionConflictError,
  createPlatformClient,
} from '..';
import type { PlatformClient } from '..';

const KEY = { kind: 'configuration', name: 'shared' };

let platform: PlatformStandIn;
let client: PlatformClient;
let port: number;

beforeEach(async () => {
  platform = createPlatformStandIn({ host: '127.0.0.1', port: 0, controlPort: 0 });
  ({ port } = await platform.start());
  client = createClient();
});

afterEach(async () => {
  client.close();
  await platform.stop();
});

function createClient(options = { port, timeoutMilliseconds: 10_000 }): PlatformClient {
  const { timeoutMilliseconds } = options;
  return createPlatformClient({ address: `http://127.0.0.1:${options.port}`, timeoutMilliseconds });
}

async function catchError(call: Promise<unknown>): Promise<unknown> {
  return call.then(
    () => undefined,
    (error: unknown) => error,
  );
}

/** Runs a check against a server that sends the same body for every request. */
async function withServerAnswering(
  text: string,
  check: (testClient: PlatformClient) => Promise<void>,
): Promise<void> {
  const server = createServer((request, response) => response.end(text));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const testClient = createClient({
    port: (server.address() as AddressInfo).port,
    timeoutMilliseconds: 10_000,
  });
  try {
    await check(testClient);
  } finally {
    testClient.close();
    server.close();
  }
}

describe('the platform client', () => {
  it('updates conditionally and reports the current version in a conflict', async () => {
    expect(await client.getObject(KEY)).toBeUndefined();
    expect(await client.putObject({ ...KEY, expectedVersion: 0, value: 'first' })).toBe(1);
    const failure = await catchError(
      client.putObject({ ...KEY, expectedVersion: 0, value: 'second' }),
    );
    expect(failure).toBeInstanceOf(VersionConflictError);
    expect(failure).toMatchObject({ currentVersion: 1 });
    expect(await client.getObject(KEY)).toMatchObject({ version: 1, value: 'first' });
  });

  it('returns from a watch with a changed object, or without one after the wait', async () => {
    await client.putObject({ ...KEY, expectedVersion: 0, value: 'first' });
    expect(await client.watchObject({ ...KEY, after: 1, waitMilliseconds: 20 })).toBeUndefined();
    const change = client.watchObject({ ...KEY, after: 1, waitMilliseconds: 20_000 });
    await client.putObject({ ...KEY, expectedVersion: 1, value: 'second' });
    expect(await change).toMatchObject({ version: 2, value: 'second' });
  });

  // Guards against reporting an update as failed that the platform applied.
  it('reports that an update whose response is lost may have been applied', async () => {
    platform.changeFaults({ loseAnswers: 1 });
    const failure = await catchError(
      client.putObject({ ...KEY, expectedVersion: 0, value: 'new' }),
    );
    expect(failure).toBeInstanceOf(PlatformUnavailableError);
    expect(failure).toMatchObject({ mayHaveApplied: true });
    expect(await client.getObject(KEY)).toMatchObject({ version: 1, value: 'new' });
  });

  it('reports that an update was not applied if the connection is refused', async () => {
    await platform.stop();
    const failure = await catchError(
      client.putObject({ ...KEY, expectedVersion: 0, value: 'new' }),
    );
    expect(failure).toBeInstanceOf(PlatformUnavailableError);
    expect(failure).toMatchObject({ mayHaveApplied: false });
  });

  it('ends a watch in an outage and recovers with new connections', async () => {
    const watch = catchError(client.watchObject({ ...KEY, after: 0, waitMilliseconds: 20_000 }));
    await expect.poll(() => platform.calls().watchObject).toBe(1);
    platform.changeFaults({ outage: true });
    expect(await watch).toBeInstanceOf(PlatformUnavailableError);
    expect(await catchError(client.listInstances())).toBeInstanceOf(PlatformUnavailableError);
    platform.changeFaults({ outage: false });
    expect(await client.listInstances()).toEqual([]);
  });

  it('times out if the platform does not respond', async () => {
    platform.changeFaults({ delayMilliseconds: 600_000 });
    const shortTimeoutClient = createClient({ port, timeoutMilliseconds: 50 });
    expect(await catchError(shortTimeoutClient.getObject(KEY))).toBeInstanceOf(
      PlatformUnavailableError,
    );
    shortTimeoutClient.close();
  });

  // Guards against rejecting the list during an upgrade, when newer instances register more fields.
  it('reads a list with instances of a newer version', async () => {
    const instance = {
      name: 'p1',
      dataCentre: 'sesto-dc',
      region: 'lomb-nord',
      peerAddress: '127.0.0.1:7300',
      administrationAddress: '127.0.0.1:7400',
      state: 'live',
    };
    const answer = JSON.stringify({ instances: [{ ...instance, weight: 2 }] });
    await withServerAnswering(answer, async (testClient) => {
      expect(await testClient.listInstances()).toEqual([instance]);
    });
  });

  it.each(['not JSON', '{"kind":"configuration"}', '{"instances":[{"name":7}]}'])(
    'rejects the response %s',
    async (text) => {
      await withServerAnswering(text, async (testClient) => {
        expect(await catchError(testClient.getObject(KEY))).toBeInstanceOf(PlatformAnswerError);
        expect(await catchError(testClient.listInstances())).toBeInstanceOf(PlatformAnswerError);
      });
    },
  );
});
