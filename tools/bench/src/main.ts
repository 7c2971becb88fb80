import { openLinks } from './lib/cluster/links';
import type { RelayArguments } from './lib/cluster/startLinks';

/** Runs the relays of a trial's links until SIGTERM. */
async function runRelay(text: string): Promise<void> {
  const { routes, links } = JSON.parse(text) as RelayArguments;
  await openLinks(routes, links, Math.random);
  process.stdout.write(`${JSON.stringify({ event: 'ready', port: 0, controlPort: 0 })}\n`);
}

async function main(): Promise<void> {
  const [command, ...rest] = process.argv.slice(2);
  if (command === 'relay') await runRelay(rest[0] ?? '');
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
