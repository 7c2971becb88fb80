import type { Settings } from '@wisterialift/schema';
import type { Command } from 'commander';
import { createAdministrationClient } from '../client/administrationClient';
import type { AdministrationClient } from '../client/administrationClient';
import { ClientError } from '../client/clientError';

/** Process functions used by commands, which tests can replace. @public */
export interface CommandContext {
  write: (text: string) => void;
  environment: Record<string, string | undefined>;
  readFile: (path: string) => Promise<string>;
  writeFile: (path: string, text: string) => Promise<void>;
  /** Milliseconds since the epoch. */
  now: () => number;
  createId: () => string;
  /** Runs the proxy; resolves when it has stopped. */
  runProxy: (settings: Settings) => Promise<void>;
}

/** Options of every command that sends requests to an instance. @internal */
export interface ConnectionOptions {
  address?: string;
  token?: string;
  json?: boolean;
}

/** Adds the options `--address`, `--token` and `--json`. @internal */
export function addConnectionOptions(command: Command): Command {
  return command
    .option('--address <host:port>', 'administration API of any instance ($WISTERIALIFT_ADDRESS)')
    .option('--token <token>', 'operator token ($WISTERIALIFT_TOKEN)')
    .option('--json', 'print JSON for scripts');
}

/**
 * Creates a client from the options, or from the environment where options are missing.
 *
 * @throws ClientError if neither provides the address or the token.
 * @internal
 */
export function createClient(
  context: CommandContext,
  options: ConnectionOptions,
): AdministrationClient {
  const { environment } = context;
  const address = options.address ?? environment.WISTERIALIFT_ADDRESS;
  const token = options.token ?? environment.WISTERIALIFT_TOKEN;
  if (!address) {
    throw new ClientError('usage', '--address or $WISTERIALIFT_ADDRESS: host:port is required');
  }
  if (!token) throw new ClientError('usage', '--token or $WISTERIALIFT_TOKEN: a token is required');
  return createAdministrationClient({ address, token });
}

/** Writes the result as JSON if `--json` is set, otherwise as text. @internal */
export function writeResult(
  context: CommandContext,
  options: ConnectionOptions,
  result: { value: object; text: () => string },
): void {
  const text = options.json ? `${JSON.stringify(result.value, null, 2)}\n` : result.text();
  context.write(text);
}
