import { TlsFileError } from '@wisterialift/proxy';
import { SettingsError, parseSettings } from '@wisterialift/schema';
import type { Settings } from '@wisterialift/schema';
import { Command } from 'commander';
import { ClientError } from '../client/clientError';
import type { CommandContext } from './commandContext';

/** `settings check`. @internal */
export function createSettingsCommand(context: CommandContext): Command {
  const command = new Command('settings').description('work with the settings of a process');
  const check = new Command('check')
    .description('check a settings file and list all errors')
    .argument('<file>', 'TOML file')
    .option('--json', 'print JSON for scripts');
  check.action(async (file: string, options: { json?: boolean }) => {
    const settings = await readSettings(context, file);
    const { name, dataCentre } = settings.instance;
    const text = `${file}: correct; instance ${name} in data centre ${dataCentre}\n`;
    context.write(options.json ? `${JSON.stringify({ file, isCorrect: true })}\n` : text);
  });
  command.addCommand(check);
  return command;
}

/** `proxy`: runs until the process is stopped. @internal */
export function createProxyCommand(context: CommandContext): Command {
  return new Command('proxy')
    .description('run an instance of the proxy until it is told to stop')
    .requiredOption('--settings <file>', 'TOML file')
    .action(async ({ settings }: { settings: string }) => {
      await runProxy(context, settings);
    });
}

/** Validates the settings before any socket is opened. */
async function runProxy(context: CommandContext, file: string): Promise<void> {
  const settings = await readSettings(context, file);
  try {
    await context.runProxy(settings);
  } catch (error) {
    if (!(error instanceof TlsFileError)) throw error;
    throw new ClientError('settings', `${file}: ${error.message}`);
  }
}

/**
 * Reads and checks a settings file.
 *
 * @throws ClientError with the code `settings` and the file, key and reason of every error.
 * @internal
 */
export async function readSettings(context: CommandContext, file: string): Promise<Settings> {
  try {
    return parseSettings({ file, text: await context.readFile(file) });
  } catch (error) {
    if (error instanceof SettingsError) {
      throw new ClientError('settings', error.message, { faults: error.issues });
    }
    throw new ClientError('settings', `${file}: (file): ${(error as Error).message}`);
  }
}
