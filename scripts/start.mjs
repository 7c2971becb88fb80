// Installs what is needed, bundles, then runs the demo: the stand-ins and two proxies.
import { spawn, spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

function runStep(command, commandArguments) {
  const { status } = spawnSync(command, commandArguments, { stdio: ['ignore', 2, 'inherit'] });
  if (status !== 0) process.exit(status ?? 1);
}

if (!existsSync('node_modules/.package-lock.json')) runStep('npm', ['ci']);
runStep('node', ['scripts/bundle.mjs']);

const demo = spawn('node', ['dist/demo.cjs', ...process.argv.slice(2)], { stdio: 'inherit' });
// The demo stops its own processes in order; the signal reaches it through the terminal as well.
process.on('SIGINT', () => demo.kill('SIGINT'));
process.on('SIGTERM', () => demo.kill('SIGTERM'));
demo.on('exit', (code) => process.exit(code ?? 1));
