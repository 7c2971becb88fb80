export { AdministrationError } from './lib/administration/administrationError';
export type { AdministrationErrorCode } from './lib/administration/administrationError';
export { createAdministrationServer } from './lib/administration/createAdministrationServer';
export type {
  AdministrationServer,
  AdministrationServerOptions,
} from './lib/administration/createAdministrationServer';
export type {
  AdministrationBackend,
  InstanceState,
  InstanceStatus,
} from './lib/administration/administrationBackend';
export type { ReadCounts } from './lib/process/decisionRecorder';
export { createProxy, type Proxy, type ProxyOptions } from './lib/process/createProxy';
export { runProxyProcess } from './lib/process/runProxyProcess';
export { TlsFileError } from './lib/process/tlsFileError';
export {
  createStatementPath,
  type ConnectionCounts,
  type GroupPrimary,
  type GroupRecord,
  type StatementPath,
  type StatementPathOptions,
} from './lib/statements/statementPath';
export { type RequestObservation } from './lib/statements/caller/callerTypes';
export { callerErrorCode } from './lib/statements/caller/callerErrors';
