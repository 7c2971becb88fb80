export { ClientError, EXIT_CODES, type ClientErrorCode } from './lib/client/clientError';
export { createAdministrationClient } from './lib/client/administrationClient';
export type {
  AdministrationClient,
  AdministrationClientOptions,
} from './lib/client/administrationClient';
export type { CommandContext } from './lib/commands/commandContext';
export { VERSION, createProgram } from './lib/createProgram';
export { UNEXPECTED_EXIT_CODE, runProgram, type ProgramOptions } from './lib/runProgram';
