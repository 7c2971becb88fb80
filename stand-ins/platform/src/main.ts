import { Command, InvalidArgumentError } from 'commander';
import { createPlatformStandIn } from './lib/platformStandIn';

interface Arguments {
  host: string;
  port: number;
  controlPort: number;
}

/** Runs the stand-in until SIGTERM or SIGINT. */
async function main(): Promise<void> {
  const platform = createPlatformStandIn(parseArguments());
  const ports = await platform.start();
  process.stdout.write(`${JSON.stringify({ event: 'ready', ...ports })}\n`);
  const onStop = (): void => {
    void platform.stop();
  };
  process.once('SIGTERM', onStop);
  process.once('SIGINT', onStop);
}

function parseArguments(): Arguments {
  return new Command('stand-in-platform')
    .description('A small platform for tests and trials')
    .option('--host <address>', 'address to listen on', '127.0.0.1')
    .option('--port <number>', 'port of the platform; 0 for any free one', parsePort, 0)
    .option('--control-port <number>', 'port of the fault switches', parsePort, 0)
    .parse()
    .opts<Arguments>();
}

function parsePort(text: string): number {
  const port = Number(text);
  if (Number.isInteger(port) && port >= 0 && port <= 65_535) return port;
  throw new InvalidArgumentError('a port is a whole number from 0 to 65535');
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
