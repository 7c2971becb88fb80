import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { runProgram } from '../index';

const SETTINGS = `
[instance]
name = "entry-1"
dataCentre = "cirebon"
region = "jawa-barat"
[callers]
port = 3306
[peers]
port = 7100
[administration]
port = 7200
token = "operator-token"
[platform]
address = "http://127.0.0.1:7000"
`;

interface RunResult {
  code: number;
  output: string;
  errors: string;
  files: Record<string, string>;
}

/** Runs one command with in-memory files. */
async function runCommand(
  programArguments: string[],
  files: Record<string, string> = {},
): Promise<RunResult> {
  const result: RunResult = { code: -1, output: '', errors: '', files };
  result.code = await runProgram({
    programArguments,
    writeError: (text) => {
      result.errors += text;
    },
    context: {
      write: (text) => {
        result.output += text;
      },
      environment: { WISTERIALIFT_TOKEN: 'operator-token', USER: 'rina' },
      readFile: async (path) => {
        const text = files[path];
        if (text === undefined) throw new Error(`ENOENT: no such file, open '${path}'`);
        return text;
      },
      writeFile: async (path, text) => {
        result.files[path] = text;
      },
      now: () => Date.parse('2026-12-01T12:00:00Z'),
      createId: () => 'patch-1',
      runProxy: async ({ instance }) => {
        result.output += `proxy ran as ${instance.name}\n`;
      },
    },
  });
  return result;
}

type ResponsesByRequest = Record<string, { status: number; body: object }>;

let closeServer: (() => void) | undefined;

afterEach(() => {
  closeServer?.();
  closeServer = undefined;
});

/** Starts an administration API with fixed responses by method and path. */
async function serveResponses(
  createResponses: (address: string) => ResponsesByRequest,
): Promise<string> {
  let responses: ResponsesByRequest = {};
  const server = createServer((request, response) => {
    const configuredResponse = responses[`${request.method} ${request.url}`];
    response.writeHead(configuredResponse?.status ?? 404, { 'content-type': 'application/json' });
    response.end(
      JSON.stringify(configuredResponse?.body ?? { error: { code: 'notFound', message: 'none' } }),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closeServer = () => server.close();
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  responses = createResponses(address);
  return address;
}

function createInstanceEntry(name: string, administrationAddress: string) {
  const location = { dataCentre: 'cirebon', region: 'jawa-barat' };
  return { name, ...location, peerAddress: '127.0.0.1:1', administrationAddress, state: 'live' };
}

describe('the command line', () => {
  it('describes each command', async () => {
    expect((await runCommand(['--help'])).output).toMatchSnapshot();
    expect((await runCommand(['config', 'patch', '--help'])).output).toMatchSnapshot();
  });

  it('refuses wrong arguments with exit code 2 and names them', async () => {
    const runs = [
      await runCommand(['config', 'patch', '--against', 'three', '--file', 'p.json']),
      await runCommand(['status']),
      await runCommand(['status', '--address', 'nowhere']),
      await runCommand(['config', 'patch', '--against', '3', '--file', 'p.json'], {
        'p.json': '[1]',
      }),
      await runCommand(['promote']),
    ];
    expect(runs.map(({ code, errors }) => ({ code, errors }))).toMatchSnapshot();
  });

  it('checks settings and reports file, key and reason of each error', async () => {
    const files = { 'good.toml': SETTINGS, 'bad.toml': `${SETTINGS}\n[limits]\nqueue = 3` };
    const good = await runCommand(['settings', 'check', 'good.toml'], files);
    expect([good.code, good.output]).toEqual([
      0,
      'good.toml: correct; instance entry-1 in data centre cirebon\n',
    ]);
    const bad = await runCommand(['settings', 'check', 'bad.toml'], files);
    expect([bad.code, bad.errors]).toEqual([
      3,
      'wisterialift: bad.toml: limits.queue: unknown key\n',
    ]);
    const missing = await runCommand(['proxy', '--settings', 'none.toml'], files);
    expect([missing.code, missing.output]).toEqual([3, '']);
  });

  it('distinguishes a refused patch from one with an unknown outcome', async () => {
    const files = { 'p.json': '{"kinds":{}}' };
    const patch = ['config', 'patch', '--against', '3', '--file', 'p.json', '--json'];
    const refusingAddress = await serveResponses(() => ({
      'POST /v1/configuration/patches': {
        status: 409,
        body: { error: { code: 'outdated', message: 'moved on to number 4', presentNumber: 4 } },
      },
    }));
    const refused = await runCommand([...patch, '--address', refusingAddress], files);
    expect([refused.code, JSON.parse(refused.errors)]).toEqual([
      4,
      { error: { code: 'outdated', message: 'moved on to number 4', presentNumber: 4 } },
    ]);
    closeServer?.();
    const unknownOutcomeAddress = await serveResponses(() => ({
      'POST /v1/configuration/patches': {
        status: 202,
        body: { status: 'unknown', patchId: 'patch-1' },
      },
    }));
    const unknown = await runCommand([...patch, '--address', unknownOutcomeAddress], files);
    expect([unknown.code, unknown.errors]).toEqual([6, expect.stringContaining('config find')]);
  });

  it('shows an instance that does not answer beside those that do', async () => {
    const address = await serveResponses((ownAddress) => ({
      'GET /v1/instances': {
        status: 200,
        body: {
          instances: [
            createInstanceEntry('entry-1', ownAddress),
            createInstanceEntry('entry-2', '127.0.0.1:1'),
          ],
        },
      },
      'GET /v1/status': {
        status: 200,
        body: {
          instance: { name: 'entry-1', dataCentre: 'cirebon', region: 'jawa-barat' },
          state: 'serving',
          configurationNumber: 7,
          callerConnections: 2,
          groups: [{ group: 'sertifikat-db-1', primary: 'one' }],
        },
      },
    }));
    const { code, output } = await runCommand(['status', '--address', address]);
    expect([code, output]).toMatchSnapshot();
  });
});

describe('explain', () => {
  const log = JSON.stringify({
    instance: 'front-1',
    event: 'statementRefused',
    group: 'archivio-1',
    requestId: 'r1',
    reason: 'busy',
    waitedMilliseconds: 800,
    time: '2026-05-08T10:00:08.500Z',
  });

  it('shows the log lines of a request', async () => {
    const { code, output } = await runCommand(['explain', '--id', 'r1', 'front-1.log'], {
      'front-1.log': log,
    });
    expect(code).toBe(0);
    expect(output).toContain('statementRefused');
    expect(output).toContain('+800 ms');
  });

  it('reports an unknown request id and a missing log file', async () => {
    const files = { 'front-1.log': log };
    const unknown = await runCommand(['explain', '--id', 'r9', 'front-1.log'], files);
    expect(unknown).toMatchObject({ code: 2, output: '' });
    expect(unknown.errors).toContain('no line of these logs names the request r9');
    const missing = await runCommand(['explain', '--id', 'r1', 'front-2.log'], files);
    expect(missing.errors).toContain('front-2.log');
  });
});
