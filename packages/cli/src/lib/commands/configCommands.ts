import type { AcceptedPatch, Configuration } from '@wisterialift/schema';
import { Command, InvalidArgumentError } from 'commander';
import { renderTable } from '@wisterialift/telemetry';
import { ClientError } from '../client/clientError';
import { addConnectionOptions, createClient, writeResult } from './commandContext';
import type { CommandContext, ConnectionOptions } from './commandContext';

interface NumberedConfiguration {
  number: number;
  configuration: Configuration;
}

interface PatchResponse {
  status: 'accepted' | 'unknown';
  patchId: string;
  number?: number;
}

type PatchOutcome = { status: 'accepted'; patch: AcceptedPatch } | UnacceptedOutcome;

interface UnacceptedOutcome {
  status: 'refused' | 'pending' | 'forgotten' | 'unknown';
  presentNumber?: number;
}

interface FindOptions extends ConnectionOptions {
  against?: number;
}

interface PatchOptions extends ConnectionOptions {
  file: string;
  against: number;
  id?: string;
  author?: string;
}

/** `config get|patch|find|history`. @internal */
export function createConfigCommand(context: CommandContext): Command {
  const command = new Command('config').description('read and patch the shared configuration');
  command.addCommand(createGetCommand(context));
  command.addCommand(createPatchCommand(context));
  command.addCommand(createFindCommand(context));
  command.addCommand(createHistoryCommand(context));
  return command;
}

function createGetCommand(context: CommandContext): Command {
  const command = new Command('get').description('print the configuration in force and its number');
  return addConnectionOptions(command).action(async (options: ConnectionOptions) => {
    const value = await createClient(context, options).get<NumberedConfiguration>(
      '/v1/configuration',
    );
    writeResult(context, options, {
      value,
      text: () => `# number ${value.number}\n${JSON.stringify(value.configuration, null, 2)}\n`,
    });
  });
}

function createPatchCommand(context: CommandContext): Command {
  const command = new Command('patch')
    .description('submit a JSON merge patch (RFC 7396) against a numbered configuration')
    .requiredOption('--file <path>', 'file that holds the patch')
    .requiredOption(
      '--against <number>',
      'number that the patch was made against',
      parseConfigurationNumber,
    )
    .option('--id <id>', 'id of the patch; repeat it to ask again after an unknown outcome')
    .option('--author <name>', 'who submits it ($USER)');
  return addConnectionOptions(command).action(async (options: PatchOptions) => {
    const changes = await readPatch(context, options.file);
    const patchId = options.id ?? context.createId();
    const author = options.author ?? context.environment.USER ?? 'operator';
    const patch = { patchId, againstNumber: options.against, author, changes };
    const client = createClient(context, options);
    const response = await client.post<PatchResponse>('/v1/configuration/patches', patch);
    if (response.status === 'unknown') throw createUnknownOutcomeError(response.patchId);
    writeResult(context, options, {
      value: response,
      text: () => `accepted as number ${response.number} (patch ${response.patchId})\n`,
    });
  });
}

function createFindCommand(context: CommandContext): Command {
  const command = new Command('find')
    .description('show whether a patch was accepted')
    .argument('<id>', 'id of the patch')
    .option(
      '--against <number>',
      'number that the patch was made against; needed to detect a refusal',
      parseConfigurationNumber,
    );
  return addConnectionOptions(command).action(async (id: string, options: FindOptions) => {
    const query = options.against === undefined ? '' : `?against=${options.against}`;
    const path = `/v1/configuration/patches/${encodeURIComponent(id)}${query}`;
    const value = await createClient(context, options).get<PatchOutcome>(path);
    if (value.status !== 'accepted') throw createOutcomeError(id, value);
    const { number, acceptedAt } = value.patch;
    writeResult(context, options, {
      value,
      text: () => `accepted as number ${number} at ${acceptedAt}\n`,
    });
  });
}

/** Error messages for patches that are not known to be accepted. */
const OUTCOME_MESSAGES: Record<UnacceptedOutcome['status'], string> = {
  refused: 'was refused: another patch was accepted first against the same number',
  pending: 'is not accepted yet; it is safe to submit it again with the same id',
  forgotten: 'has an unknown outcome: the history no longer contains its number',
  unknown: 'has an unknown outcome: the platform does not respond; try again',
};

function createOutcomeError(id: string, outcome: UnacceptedOutcome): ClientError {
  const code = outcome.status === 'refused' ? 'outdated' : 'unknown';
  return new ClientError(code, `patch ${id} ${OUTCOME_MESSAGES[outcome.status]}`, outcome);
}

function createHistoryCommand(context: CommandContext): Command {
  const command = new Command('history').description('list the accepted patches, newest last');
  return addConnectionOptions(command).action(async (options: ConnectionOptions) => {
    const client = createClient(context, options);
    const value = await client.get<{ patches: AcceptedPatch[] }>('/v1/configuration/history');
    writeResult(context, options, { value, text: () => renderHistory(value.patches) });
  });
}

function renderHistory(patches: readonly AcceptedPatch[]): string {
  const rows = patches.map(({ number, patchId, author, acceptedAt }) => [
    `${number}`,
    acceptedAt,
    author,
    patchId,
  ]);
  return renderTable([['number', 'accepted at', 'author', 'patch'], ...rows]);
}

async function readPatch(context: CommandContext, path: string): Promise<Record<string, unknown>> {
  const text = await readTextFile(context, path);
  try {
    const changes: unknown = JSON.parse(text);
    if (typeof changes === 'object' && changes !== null && !Array.isArray(changes)) {
      return changes as Record<string, unknown>;
    }
  } catch (error) {
    throw new ClientError('usage', `--file: ${path}: ${(error as Error).message}`);
  }
  throw new ClientError('usage', `--file: ${path}: a JSON object is required`);
}

async function readTextFile(context: CommandContext, path: string): Promise<string> {
  try {
    return await context.readFile(path);
  } catch (error) {
    throw new ClientError('usage', `--file: ${(error as Error).message}`);
  }
}

function createUnknownOutcomeError(patchId: string): ClientError {
  const message = `it is not known whether patch ${patchId} was accepted; ask again with "config find ${patchId}"`;
  return new ClientError('unknown', message, { status: 'unknown', patchId });
}

function parseConfigurationNumber(text: string): number {
  if (/^\d+$/.test(text)) return Number(text);
  throw new InvalidArgumentError('a whole number from 0 is required.');
}
