import type { AcceptedPatch, Configuration } from '@wisterialift/schema';
import { Command, InvalidArgumentError } from 'commander';
import { renderTable } from '@wisterialift/telemetry';
import { ClientError } from '../client/clientError';
import { addConnectionOptions, connect, writeAnswer } from './commandContext';
import type { CommandContext, ConnectionOptions } from './commandContext';

interface NumberedConfiguration {
  number: number;
  configuration: Configuration;
}

interface PatchAnswer {
  status: 'accepted' | 'unknown';
  patchId: string;
  number?: number;
}

type PatchFinding = { status: 'accepted'; patch: AcceptedPatch } | UnsettledFinding;

interface UnsettledFinding {
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
    const value = await connect(context, options).get<NumberedConfiguration>('/v1/configuration');
    writeAnswer(context, options, {
      value,
      text: () => `# number ${value.number}\n${JSON.stringify(value.configuration, null, 2)}\n`,
    });
  });
}

function createPatchCommand(context: CommandContext): Command {
  const command = new Command('patch')
    .description('submit a JSON merge patch (RFC 7396) against a numbered configuration')
    .requiredOption('--file <path>', 'file that holds the patch')
    .requiredOption('--against <number>', 'number that the patch was made against', parseNumber)
    .option('--id <id>', 'id of the patch; repeat it to ask again after an unknown outcome')
    .option('--author <name>', 'who submits it ($USER)');
  return addConnectionOptions(command).action(async (options: PatchOptions) => {
    const changes = await readPatch(context, options.file);
    const patchId = options.id ?? context.createId();
    const author = options.author ?? context.environment.USER ?? 'operator';
    const patch = { patchId, againstNumber: options.against, author, changes };
    const client = connect(context, options);
    const answer = await client.post<PatchAnswer>('/v1/configuration/patches', patch);
    if (answer.status === 'unknown') throw createUnknownError(answer.patchId);
    writeAnswer(context, options, {
      value: answer,
      text: () => `accepted as number ${answer.number} (patch ${answer.patchId})\n`,
    });
  });
}

function createFindCommand(context: CommandContext): Command {
  const command = new Command('find')
    .description('tell whether a patch was accepted')
    .argument('<id>', 'id of the patch')
    .option(
      '--against <number>',
      'number that it was made against; lets a refusal be told',
      parseNumber,
    );
  return addConnectionOptions(command).action(async (id: string, options: FindOptions) => {
    const query = options.against === undefined ? '' : `?against=${options.against}`;
    const path = `/v1/configuration/patches/${encodeURIComponent(id)}${query}`;
    const value = await connect(context, options).get<PatchFinding>(path);
    if (value.status !== 'accepted') throw createFindingError(id, value);
    const { number, acceptedAt } = value.patch;
    writeAnswer(context, options, {
      value,
      text: () => `accepted as number ${number} at ${acceptedAt}\n`,
    });
  });
}

/** What is said of a patch that is not known to be accepted. */
const FINDING_MESSAGES: Record<UnsettledFinding['status'], string> = {
  refused: 'was refused: another patch took its number',
  pending: 'is not accepted yet; submitting it again under the same id is safe',
  forgotten: 'is too old to be told; the configuration has moved on',
  unknown: 'cannot be told now: the platform does not answer; ask again',
};

function createFindingError(id: string, finding: UnsettledFinding): ClientError {
  const code = finding.status === 'refused' ? 'outdated' : 'unknown';
  return new ClientError(code, `patch ${id} ${FINDING_MESSAGES[finding.status]}`, finding);
}

function createHistoryCommand(context: CommandContext): Command {
  const command = new Command('history').description('list the accepted patches, newest last');
  return addConnectionOptions(command).action(async (options: ConnectionOptions) => {
    const client = connect(context, options);
    const value = await client.get<{ patches: AcceptedPatch[] }>('/v1/configuration/history');
    writeAnswer(context, options, { value, text: () => renderHistory(value.patches) });
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

function createUnknownError(patchId: string): ClientError {
  const message = `it is not known whether patch ${patchId} was accepted; ask again with "config find ${patchId}"`;
  return new ClientError('unknown', message, { status: 'unknown', patchId });
}

function parseNumber(text: string): number {
  if (/^\d+$/.test(text)) return Number(text);
  throw new InvalidArgumentError('a whole number from 0 is required.');
}
