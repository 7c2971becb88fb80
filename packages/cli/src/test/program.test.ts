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

/** Runs one command with files that live in memory. */
async function run(
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

type Answers = Record<string, { status: number; body: object }>;

let closeServer: (() => void) | undefined;

afterEach(() => {
  closeServer?.();
  closeServer = undefined;
});

/** Serves fixed answers as an instance would, by method and path. */
async function serveAnswers(createAnswers: (address: string) => Answers): Promise<string> {
  let answers: Answers = {};
  const server = createServer((request, response) => {
    const answer = answers[`${request.method} ${request.url}`];
    response.writeHead(answer?.status ?? 404, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer?.body ?? { error: { code: 'notFound', message: 'none' } }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closeServer = () => server.close();
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  answers = createAnswers(address);
  return address;
}

function instanceEntry(name: string, administrationAddress: string) {
  const place = { dataCentre: 'cirebon', region: 'jawa-barat' };
  return { name, ...place, peerAddress: '127.0.0.1:1', administrationAddress, state: 'live' };
}

describe('the command line', () => {
  it('describes each command', async () => {
    expect((await run(['--help'])).output).toMatchSnapshot();
    expect((await run(['config', 'patch', '--help'])).output).toMatchSnapshot();
  });

  it('refuses wrong arguments with exit code 2 and names them', async () => {
    const runs = [
      await run(['config', 'patch', '--against', 'three', '--file', 'p.json']),
      await run(['status']),
      await run(['status', '--address', 'nowhere']),
      await run(['config', 'patch', '--against', '3', '--file', 'p.json'], { 'p.json': '[1]' }),
      await run(['promote']),
    ];
    expect(runs.map(({ code, errors }) => ({ code, errors }))).toMatchSnapshot();
  });

  it('checks settings and names file, key and reason of each fault', async () => {
    const files = { 'good.toml': SETTINGS, 'bad.toml': `${SETTINGS}\n[limits]\nqueue = 3` };
    const good = await run(['settings', 'check', 'good.toml'], files);
    expect([good.code, good.output]).toEqual([
      0,
      'good.toml: correct; instance entry-1 in data centre cirebon\n',
    ]);
    const bad = await run(['settings', 'check', 'bad.toml'], files);
    expect([bad.code, bad.errors]).toEqual([
      3,
      'wisterialift: bad.toml: limits.queue: unknown key\n',
    ]);
    const missing = await run(['proxy', '--settings', 'none.toml'], files);
    expect([missing.code, missing.output]).toEqual([3, '']);
  });

  it('tells a refused patch apart from an unknown one', async () => {
    const files = { 'p.json': '{"kinds":{}}' };
    const patch = ['config', 'patch', '--against', '3', '--file', 'p.json', '--json'];
    const outdated = await serveAnswers(() => ({
      'POST /v1/configuration/patches': {
        status: 409,
        body: { error: { code: 'outdated', message: 'moved on to number 4', presentNumber: 4 } },
      },
    }));
    const refused = await run([...patch, '--address', outdated], files);
    expect([refused.code, JSON.parse(refused.errors)]).toEqual([
      4,
      { error: { code: 'outdated', message: 'moved on to number 4', presentNumber: 4 } },
    ]);
    closeServer?.();
    const silent = await serveAnswers(() => ({
      'POST /v1/configuration/patches': {
        status: 202,
        body: { status: 'unknown', patchId: 'patch-1' },
      },
    }));
    const unknown = await run([...patch, '--address', silent], files);
    expect([unknown.code, unknown.errors]).toEqual([6, expect.stringContaining('config find')]);
  });

  it('shows an instance that does not answer beside those that do', async () => {
    const address = await serveAnswers((own) => ({
      'GET /v1/instances': {
        status: 200,
        body: {
          instances: [instanceEntry('entry-1', own), instanceEntry('entry-2', '127.0.0.1:1')],
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
    const { code, output } = await run(['status', '--address', address]);
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

  it('shows what the logs tell of a request', async () => {
    const { code, output } = await run(['explain', '--id', 'r1', 'front-1.log'], {
      'front-1.log': log,
    });
    expect(code).toBe(0);
    expect(output).toContain('statementRefused');
    expect(output).toContain('+800 ms');
  });

  it('says so where no log names the request, or a log is not there', async () => {
    const files = { 'front-1.log': log };
    const unknown = await run(['explain', '--id', 'r9', 'front-1.log'], files);
    expect(unknown).toMatchObject({ code: 2, output: '' });
    expect(unknown.errors).toContain('no line of these logs names the request r9');
    const missing = await run(['explain', '--id', 'r1', 'front-2.log'], files);
    expect(missing.errors).toContain('front-2.log');
  });
});
