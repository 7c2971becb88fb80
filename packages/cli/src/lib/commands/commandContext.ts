import type { Settings } from '@wisterialift/schema';
import type { Command } from 'commander';
import { createAdministrationClient } from '../client/administrationClient';
import type { AdministrationClient } from '../client/administrationClient';
import { ClientError } from '../client/clientError';

/** What the commands take from the process, so that tests can stand in for it. @public */
export interface CommandContext {
  write: (text: string) => void;
  environment: Record<string, string | undefined>;
  readFile: (path: string) => Promise<string>;
  writeFile: (path: string, text: string) => Promise<void>;
  /** Milliseconds since the epoch. */
  now: () => number;
  createId: () => string;
  /** Runs the proxy until it has stopped. */
  runProxy: (settings: Settings) => Promise<void>;
}

/** Options of every command that talks to an instance. @internal */
export interface ConnectionOptions {
  address?: string;
  token?: string;
  json?: boolean;
}

/** Adds the options that name an instance, and `--json`. @internal */
export function addConnectionOptions(command: Command): Command {
  return command
    .option('--address <host:port>', 'administration API of any instance ($WISTERIALIFT_ADDRESS)')
    .option('--token <token>', 'operator token ($WISTERIALIFT_TOKEN)')
    .option('--json', 'print JSON for scripts');
}

/**
 * Creates a client from the options or the environment.
 *
 * @throws ClientError that names the option which is missing.
 * @internal
 */
export function connect(context: CommandContext, options: ConnectionOptions): AdministrationClient {
  const { environment } = context;
  const address = options.address ?? environment.WISTERIALIFT_ADDRESS;
  const token = options.token ?? environment.WISTERIALIFT_TOKEN;
  if (!address) {
    throw new ClientError('usage', '--address or $WISTERIALIFT_ADDRESS: host:port is required');
  }
  if (!token) throw new ClientError('usage', '--token or $WISTERIALIFT_TOKEN: a token is required');
  return createAdministrationClient({ address, token });
}

/** Writes the answer as JSON where it was asked for, else as the text. @internal */
export function writeAnswer(
  context: CommandContext,
  options: ConnectionOptions,
  answer: { value: object; text: () => string },
): void {
  const text = options.json ? `${JSON.stringify(answer.value, null, 2)}\n` : answer.text();
  context.write(text);
}
