// Runs the bundled program for a moment, as an instance without a platform, and writes the code that was
// compiled for it to target/program.cache.
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** Time in which the program runs what every start runs. */
const RUN_MILLISECONDS = 400;

const NOWHERE = '127.0.0.1:1';
const SETTINGS = [
  'node_name=build',
  'zone=build',
  'ip=127.0.0.1',
  'internal_ports=0,0',
  'listen.frontend=127.0.0.1:0',
  'listen.readiness=127.0.0.1:0',
  `platform.address=${NOWHERE}`,
  `cloud_api.address=${NOWHERE}`,
];

const settingsPath = join(mkdtempSync(join(tmpdir(), 'wisterialift-build-')), 'node.conf');
writeFileSync(settingsPath, `${SETTINGS.join('\n')}\n`);
process.env.WISTERIALIFT_BOOT = settingsPath;
process.stdout.write = () => true;

const { getCompiledCode, startInstance } = createRequire(import.meta.url)(
  resolve('target/instance.cjs'),
);
startInstance({
  callers: { server: createServer(), handOver: () => undefined },
  handleSignal: () => undefined,
});

setTimeout(() => {
  writeFileSync('target/program.cache', getCompiledCode());
  process.exit(0);
}, RUN_MILLISECONDS);
