import { explainRequest, readLogLines, renderExplanation } from '@wisterialift/telemetry';
import { Command } from 'commander';
import { ClientError } from '../client/clientError';
import { writeResult } from './commandContext';
import type { CommandContext } from './commandContext';

interface ExplainOptions {
  id: string;
  json?: boolean;
}

/** `explain`: shows the log lines of one request across instances. @internal */
export function createExplainCommand(context: CommandContext): Command {
  return new Command('explain')
    .description("show a request's way through the instances' logs, and what they believed then")
    .argument('<file...>', 'log files of the instances that may have handled it')
    .requiredOption('--id <id>', 'id of the request')
    .option('--json', 'print JSON for scripts')
    .action(async (files: string[], options: ExplainOptions) => {
      const texts = await Promise.all(files.map((file) => readLog(context, file)));
      const lines = readLogLines(texts.join('\n'));
      const value = explainRequest({ lines, requestId: options.id });
      if (!value) {
        throw new ClientError('usage', `no line of these logs names the request ${options.id}`);
      }
      writeResult(context, options, { value, text: () => renderExplanation(value) });
    });
}

async function readLog(context: CommandContext, path: string): Promise<string> {
  try {
    return await context.readFile(path);
  } catch (error) {
    throw new ClientError('usage', (error as Error).message);
  }
}
