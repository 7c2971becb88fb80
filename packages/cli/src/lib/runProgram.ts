import { CommanderError } from 'commander';
import type { Command } from 'commander';
import { ClientError, EXIT_CODES } from './client/clientError';
import type { CommandContext } from './commands/commandContext';
import { createProgram } from './createProgram';

/** Exit code of failures other than a {@link ClientError} and errors in the arguments. @public */
export const UNEXPECTED_EXIT_CODE = 1;

/** @public */
export interface ProgramOptions {
  /** Command-line arguments without the program name. */
  programArguments: readonly string[];
  context: CommandContext;
  writeError: (text: string) => void;
}

/**
 * Runs one command.
 *
 * @returns the exit code; 0 on success.
 * @public
 */
export async function runProgram(options: ProgramOptions): Promise<number> {
  const { programArguments, context, writeError } = options;
  const program = createProgram(context);
  configureCommand(program, context, writeError);
  try {
    await program.parseAsync(programArguments, { from: 'user' });
    return 0;
  } catch (error) {
    return reportFailure({ error, isJson: programArguments.includes('--json'), writeError });
  }
}

/**
 * Makes a command and its subcommands throw instead of exiting the process, and redirects their
 * output.
 */
function configureCommand(
  command: Command,
  context: CommandContext,
  writeError: (text: string) => void,
): void {
  command.exitOverride();
  command.configureOutput({ writeOut: context.write, writeErr: writeError });
  command.commands.forEach((subcommand) => configureCommand(subcommand, context, writeError));
}

function reportFailure(options: {
  error: unknown;
  isJson: boolean;
  writeError: (text: string) => void;
}): number {
  const { error, isJson, writeError } = options;
  if (error instanceof CommanderError) {
    // Commander has already written its message; `--help` and `--version` have exit code 0.
    return error.exitCode === 0 ? 0 : EXIT_CODES.usage;
  }
  if (error instanceof ClientError) {
    const { code, message, details } = error;
    const errorObject = { error: { ...details, code, message } };
    writeError(isJson ? `${JSON.stringify(errorObject)}\n` : `wisterialift: ${message}\n`);
    return EXIT_CODES[code];
  }
  writeError(`wisterialift: ${error instanceof Error ? error.message : String(error)}\n`);
  return UNEXPECTED_EXIT_CODE;
}
