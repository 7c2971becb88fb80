import { explainRequest, readLogLines, renderExplanation } from '@wisterialift/telemetry';
import { Command } from 'commander';
import { ClientError } from '../client/clientError';
import { writeAnswer } from './commandContext';
import type { CommandContext } from './commandContext';

interface ExplainOptions {
  id: string;
  json?: boolean;
}

/** `explain`: the way of a request through the logs of the instances. @internal */
export function createExplainCommand(context: CommandContext): Command {
  return new Command('explain')
    .description("show a request's way through the instances' logs, and what they believed then")
    .argument('<file...>', 'logs of the instances that may have seen it')
    .requiredOption('--id <id>', 'identity of the request')
    .option('--json', 'print JSON for scripts')
    .action(async (files: string[], options: ExplainOptions) => {
      const texts = await Promise.all(files.map((file) => readLog(context, file)));
      const lines = readLogLines(texts.join('\n'));
      const value = explainRequest({ lines, requestId: options.id });
      if (!value) {
        throw new ClientError('usage', `no line of these logs names the request ${options.id}`);
      }
      writeAnswer(context, options, { value, text: () => renderExplanation(value) });
    });
}

async function readLog(context: CommandContext, path: string): Promise<string> {
  try {
    return await context.readFile(path);
  } catch (error) {
    throw new ClientError('usage', (error as Error).message);
  }
}
