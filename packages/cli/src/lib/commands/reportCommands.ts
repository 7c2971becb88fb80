import { createBurnReport, renderBurnPage, renderBurnText } from '@wisterialift/telemetry';
import type { InstanceBurn } from '@wisterialift/telemetry';
import { Command } from 'commander';
import { ClientError } from '../client/clientError';
import { requestFromInstances } from './requestFromInstances';
import { addConnectionOptions, createClient, writeResult } from './commandContext';
import type { CommandContext, ConnectionOptions } from './commandContext';

interface BurnOptions extends ConnectionOptions {
  html?: string;
}

/** `report burn`. @internal */
export function createReportCommand(context: CommandContext): Command {
  const command = new Command('report').description('reports over all instances');
  const burn = new Command('burn')
    .description('service-level burn over several windows, summed over all instances')
    .option('--html <path>', 'also write one self-contained HTML page with plots');
  addConnectionOptions(burn).action(async (options: BurnOptions) => {
    const results = await requestFromInstances<InstanceBurn>(
      createClient(context, options),
      '/v1/burn',
    );
    const burns = results.flatMap(({ answer }) => (answer ? [answer] : []));
    const failedResults = results.filter(({ answer }) => !answer);
    const report = createBurnReport({
      burns,
      missingInstances: failedResults.map(({ instance }) => instance),
      now: context.now(),
    });
    if (options.html) await writeHtmlFile(context, options.html, renderBurnPage(report));
    writeResult(context, options, { value: report, text: () => renderBurnText(report) });
  });
  command.addCommand(burn);
  return command;
}

async function writeHtmlFile(context: CommandContext, path: string, html: string): Promise<void> {
  try {
    await context.writeFile(path, html);
  } catch (error) {
    throw new ClientError('usage', `--html: ${(error as Error).message}`);
  }
}
