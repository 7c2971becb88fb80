import { createBurnReport, renderBurnPage, renderBurnText } from '@wisterialift/telemetry';
import type { InstanceBurn } from '@wisterialift/telemetry';
import { Command } from 'commander';
import { ClientError } from '../client/clientError';
import { askInstances } from './askInstances';
import { addConnectionOptions, connect, writeAnswer } from './commandContext';
import type { CommandContext, ConnectionOptions } from './commandContext';

interface BurnOptions extends ConnectionOptions {
  html?: string;
}

/** `report burn`. @internal */
export function createReportCommand(context: CommandContext): Command {
  const command = new Command('report').description('reports over all instances');
  const burn = new Command('burn')
    .description('service-level burn over several windows, added up over all instances')
    .option('--html <path>', 'also write one self-contained HTML page with plots');
  addConnectionOptions(burn).action(async (options: BurnOptions) => {
    const answers = await askInstances<InstanceBurn>(connect(context, options), '/v1/burn');
    const burns = answers.flatMap(({ answer }) => (answer ? [answer] : []));
    const missing = answers.filter(({ answer }) => !answer);
    const report = createBurnReport({
      burns,
      missingInstances: missing.map(({ instance }) => instance),
      now: context.now(),
    });
    if (options.html) await writePage(context, options.html, renderBurnPage(report));
    writeAnswer(context, options, { value: report, text: () => renderBurnText(report) });
  });
  command.addCommand(burn);
  return command;
}

async function writePage(context: CommandContext, path: string, page: string): Promise<void> {
  try {
    await context.writeFile(path, page);
  } catch (error) {
    throw new ClientError('usage', `--html: ${(error as Error).message}`);
  }
}
