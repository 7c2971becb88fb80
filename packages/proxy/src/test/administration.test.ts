import type { PatchOutcome } from '@wisterialift/core';
import { configurationSchema, parseSettings } from '@wisterialift/schema';
import { afterEach, describe, expect, it } from 'vitest';
import { createAdministrationServer } from '../index';
import type { AdministrationServer, AdministrationBackend } from '../index';

const TOKEN = 'operator-token';
const SETTINGS = parseSettings({
  file: 'proxy.toml',
  text: `
[instance]
name = "entry-1"
dataCentre = "surabaya"
region = "jawa-timur"
[callers]
port = 0
[peers]
port = 0
[administration]
port = 0
token = "${TOKEN}"
[platform]
address = "http://127.0.0.1:1"
`,
});
const CONFIGURATION = configurationSchema.parse({
  groups: {
    'sertifikat-db-1': {
      user: 'proxy',
      password: 'never shown',
      databases: [
        {
          name: 'one',
          host: '127.0.0.1',
          port: 1,
          dataCentre: 'surabaya',
          connectionLimit: 40,
          slots: 3,
        },
      ],
    },
  },
  callers: {},
});

let server: AdministrationServer;

afterEach(async () => {
  await server.close();
});

interface Answer {
  status: number;
  body: unknown;
}

type Call = (path: string, options?: { token?: string; body?: object }) => Promise<Answer>;

/** Starts the API on a backend with only the methods that the test needs. */
async function startServer(backend: Partial<AdministrationBackend>): Promise<Call> {
  const unexpectedErrors: string[] = [];
  server = createAdministrationServer({
    settings: SETTINGS,
    backend: {
      configuration: () => ({ number: 7, configuration: CONFIGURATION, patches: [] }),
      instances: () => [],
      ...backend,
    } as AdministrationBackend,
    onUnexpectedError: ({ message }) => unexpectedErrors.push(message),
  });
  const { host, port } = await server.listen();
  return async (path, { token = TOKEN, body } = {}) => {
    const response = await fetch(`http://${host}:${port}${path}`, {
      method: body ? 'POST' : 'GET',
      headers: {
        authorization: `Bearer ${token}`,
        ...(body ? { 'content-type': 'application/json' } : {}),
      },
      body: body && JSON.stringify(body),
    });
    return { status: response.status, body: await response.json() };
  };
}

const PATCH = { patchId: 'p-1', againstNumber: 6, author: 'rina', changes: {} };
const PATCHES = '/v1/configuration/patches';

describe('the administration API', () => {
  it('answers nobody without the token', async () => {
    const call = await startServer({});
    expect(await call('/v1/configuration', { token: 'operator-tokem' })).toMatchSnapshot();
    expect(await call('/v1/configuration', { token: '' })).toMatchObject({ status: 401 });
  });

  it('never shows the password of a database account', async () => {
    const call = await startServer({});
    const { body } = await call('/v1/configuration');
    expect(JSON.stringify(body)).not.toContain('never shown');
    expect(body).toMatchObject({ number: 7 });
  });

  it('gives each refusal of a patch an object with a code', async () => {
    const outcomes: PatchOutcome[] = [
      { status: 'outdated', presentNumber: 7 },
      { status: 'invalid', faults: [{ path: 'kinds.a.priority', reason: 'too big' }] },
      { status: 'unknown', patchId: 'p-1' },
      { status: 'accepted', number: 8 },
    ];
    const remaining = [...outcomes];
    const call = await startServer({
      submitPatch: async () => remaining.shift() as PatchOutcome,
    });
    const answers = [];
    for (let index = 0; index < outcomes.length; index += 1) {
      answers.push(await call(PATCHES, { body: PATCH }));
    }
    expect(answers).toMatchSnapshot();
  });

  it('names what is wrong with a body, a path or a name', async () => {
    const call = await startServer({ status: () => ({ groups: [] }) as never });
    expect([
      await call(PATCHES, { body: { ...PATCH, againstNumber: 'six', force: true } }),
      await call('/v1/groups/none'),
      await call('/v2/status'),
      await call(`${PATCHES}/p-1?against=six`),
      await call('/v1/instances/entry-9/drain', { body: {} }),
    ]).toMatchSnapshot();
  });

  it('keeps a fault of the program to its log', async () => {
    const call = await startServer({
      history: () => {
        throw new Error('secret detail');
      },
    });
    expect(await call('/v1/configuration/history')).toMatchSnapshot();
  });
});
