import { CommanderError } from 'commander';
import type { Command } from 'commander';
import { ClientError, EXIT_CODES } from './client/clientError';
import type { CommandContext } from './commands/commandContext';
import { createProgram } from './createProgram';

/** Exit code of a failure that no {@link ClientError} describes. @public */
export const UNEXPECTED_EXIT_CODE = 1;

/** @public */
export interface ProgramRun {
  /** The arguments behind the program's name. */
  programArguments: readonly string[];
  context: CommandContext;
  writeError: (text: string) => void;
}

/**
 * Runs one command.
 *
 * @returns the exit code; 0 where the command did what it was asked.
 * @public
 */
export async function runProgram(run: ProgramRun): Promise<number> {
  const { programArguments, context, writeError } = run;
  const program = createProgram(context);
  prepare(program, context, writeError);
  try {
    await program.parseAsync(programArguments, { from: 'user' });
    return 0;
  } catch (error) {
    return describeFailure({ error, isJson: programArguments.includes('--json'), writeError });
  }
}

/** Makes commander throw instead of ending the process, for each command below too. */
function prepare(
  command: Command,
  context: CommandContext,
  writeError: (text: string) => void,
): void {
  command.exitOverride();
  command.configureOutput({ writeOut: context.write, writeErr: writeError });
  command.commands.forEach((child) => prepare(child, context, writeError));
}

function describeFailure(options: {
  error: unknown;
  isJson: boolean;
  writeError: (text: string) => void;
}): number {
  const { error, isJson, writeError } = options;
  if (error instanceof CommanderError) {
    // Commander has written its message already; help and version end with 0.
    return error.exitCode === 0 ? 0 : EXIT_CODES.usage;
  }
  if (error instanceof ClientError) {
    const { code, message, details } = error;
    const object = { error: { ...details, code, message } };
    writeError(isJson ? `${JSON.stringify(object)}\n` : `wisterialift: ${message}\n`);
    return EXIT_CODES[code];
  }
  writeError(`wisterialift: ${error instanceof Error ? error.message : String(error)}\n`);
  return UNEXPECTED_EXIT_CODE;
}
