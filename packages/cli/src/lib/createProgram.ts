import { Command } from 'commander';
import type { CommandContext } from './commands/commandContext';
import { createConfigCommand } from './commands/configCommands';
import { createExplainCommand } from './commands/explainCommand';
import { createReportCommand } from './commands/reportCommands';
import { createProxyCommand, createSettingsCommand } from './commands/settingsCommands';
import {
  createGroupCommand,
  createInstanceCommand,
  createStatusCommand,
} from './commands/statusCommands';

/** @public */
export const VERSION = '0.1.0';

/** Creates the `wisterialift` program with all commands. @public */
export function createProgram(context: CommandContext): Command {
  const program = new Command('wisterialift')
    .description('a database proxy with session consistency')
    .version(VERSION);
  program.addCommand(createProxyCommand(context));
  program.addCommand(createConfigCommand(context));
  program.addCommand(createStatusCommand(context));
  program.addCommand(createGroupCommand(context));
  program.addCommand(createInstanceCommand(context));
  program.addCommand(createReportCommand(context));
  program.addCommand(createExplainCommand(context));
  program.addCommand(createSettingsCommand(context));
  return program;
}
