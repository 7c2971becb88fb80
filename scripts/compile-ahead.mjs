// Runs the bundled program and a stream between instances for a moment, and writes the code that was
// compiled for them to target/program.cache and target/relayLibrary.cache.
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** Time in which the program runs what every start runs. */
const RUN_MILLISECONDS = 400;

const HOST = '127.0.0.1';
const NOWHERE = `${HOST}:1`;
const SETTINGS = [
  'node_name=build',
  'zone=build',
  `ip=${HOST}`,
  'internal_ports=0,0',
  `listen.frontend=${HOST}:0`,
  `listen.readiness=${HOST}:0`,
  `platform.address=${NOWHERE}`,
  `cloud_api.address=${NOWHERE}`,
];

/** Loads a file of the build. */
const loadBundle = createRequire(import.meta.url);

const createResponse = (number) => ({
  number,
  isLeaving: false,
  version: 1,
  configurationJson: '',
  isOutOfReach: false,
  isConfigurationCurrent: true,
});

/** Sends one request over a stream and receives its answer. */
async function compileRelay() {
  const { createRelayClient, createRelayServer, getCompiledCode } = loadBundle(
    resolve('target/relay.cjs'),
  );
  const server = createRelayServer({
    host: HOST,
    port: 0,
    accept: (respond) => {
      respond(createResponse(0));
      return { onRequest: ({ number }) => respond(createResponse(number)), onEnd: () => undefined };
    },
  });
  const port = await server.start();
  await new Promise((answered, onLost) => {
    const request = { rolledBackTransaction: 0, wantsConfiguration: false, configurationJson: '' };
    const stream = createRelayClient().open(`${HOST}:${port}`, {
      onResponse: ({ number }) => {
        if (number === 0) stream.send({ ...request, number: 1 });
        else answered();
      },
      onLost,
    });
  });
  writeFileSync('target/relayLibrary.cache', getCompiledCode());
}

/** Starts an instance without a platform. */
async function compileProgram() {
  const settingsPath = join(mkdtempSync(join(tmpdir(), 'wisterialift-build-')), 'node.conf');
  writeFileSync(settingsPath, `${SETTINGS.join('\n')}\n`);
  process.env.WISTERIALIFT_BOOT = settingsPath;
  process.stdout.write = () => true;
  const { getCompiledCode, startInstance } = loadBundle(resolve('target/instance.cjs'));
  startInstance({
    callers: { server: createServer(), handOver: () => undefined },
    handleSignal: () => undefined,
  });
  await new Promise((over) => {
    setTimeout(over, RUN_MILLISECONDS);
  });
  writeFileSync('target/program.cache', getCompiledCode());
}

await compileRelay();
await compileProgram();
process.exit(0);
