export type {
  InstanceState,
  InstanceStatus,
  PatchAnswer,
  PatchFault,
} from './lib/administration/administrationSources';
export {
  createStatementPath,
  type ConnectionCounts,
  type GroupPrimary,
  type GroupRecord,
  type StatementPath,
  type StatementPathOptions,
} from './lib/statements/statementPath';
export { type RequestObservation } from './lib/statements/callerTask';
export { callerErrorCode } from './lib/statements/callerErrors';
