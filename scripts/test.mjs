// Installs what the tests need, then runs formatter check, linter, types, bundles and tests in this order.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

/** Runs one step and ends with its exit code when it fails. */
function runStep(name, command, commandArguments) {
  process.stdout.write(`== ${name}\n`);
  const result = spawnSync(command, commandArguments, { stdio: 'inherit' });
  if (result.status !== 0) {
    process.stdout.write(`== ${name}: failed\n`);
    process.exit(result.status ?? 1);
  }
}

if (!existsSync('node_modules/.package-lock.json')) runStep('install', 'npm', ['ci']);
runStep('format', 'npx', ['prettier', '--check', '.']);
runStep('lint', 'npx', ['eslint', '.']);
runStep('types', 'npx', ['tsc', '--noEmit']);
runStep('bundle', 'node', ['scripts/bundle.mjs']);
runStep('unit', 'npx', ['vitest', 'run']);
