// Builds dist/wisterialift: one executable that needs no installed Node.js. With --bundled it takes the
// bundle that is there.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs';

/** The marker in the Node.js executable that tells where an application may be put. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const EXECUTABLE = 'dist/wisterialift';
const BLOB = 'dist/wisterialift.blob';
const SEA_CONFIG = 'dist/sea-config.json';

function run(command, commandArguments) {
  execFileSync(command, commandArguments, { stdio: ['ignore', 'ignore', 'inherit'] });
}

if (!process.argv.includes('--bundled')) run('node', ['scripts/bundle.mjs']);
writeFileSync(
  SEA_CONFIG,
  JSON.stringify({
    main: 'dist/wisterialift.cjs',
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
run(process.execPath, ['--experimental-sea-config', SEA_CONFIG]);
copyFileSync(process.execPath, EXECUTABLE);
chmodSync(EXECUTABLE, 0o755);
run('npx', ['postject', EXECUTABLE, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL_FUSE]);
process.stdout.write(`built ${EXECUTABLE}\n`);
