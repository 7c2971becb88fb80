import { runDemo, runDemoOnce } from './lib/runDemo';

function write(text: string): void {
  process.stdout.write(text);
}

/** Resolves with the first signal that asks the process to stop. */
function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

async function main(): Promise<void> {
  const isOnce = process.argv.includes('--once');
  process.exitCode = isOnce ? await runDemoOnce(write) : await runDemo(write, waitForSignal());
}

main().catch((error: Error) => {
  write(`demo failed: ${error.message}\n`);
  process.exitCode = 1;
});
