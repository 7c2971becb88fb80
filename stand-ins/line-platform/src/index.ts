export { breakOff } from './lib/breakOff';
export { connectLineCaller, type LineAnswer, type LineCaller } from './lib/lineCaller';
export { startDutyServer, type DutyServer, type PromotionCall } from './lib/dutyServer';
export {
  startLineDatabase,
  type LineDatabase,
  type PreparedStatement,
  type RejectedMessage,
  type StatementRun,
} from './lib/lineDatabase';
export {
  NO_FAULTS,
  createLineGroup,
  type LineGroup,
  type LineGroupOptions,
  type LineMember,
  type LogEntry,
  type MemberFaults,
} from './lib/lineGroup';
export {
  startObjectStore,
  type ObjectStoreServer,
  type StoreFaults,
} from './lib/objectStoreServer';
export {
  DATABASES,
  STALENESS,
  createPlatformEntries,
  writeInstanceSettings,
  type ConfigurationChanges,
  type InstanceSettings,
  type PlatformEntries,
  type TeamEntry,
} from './lib/platformEntries';
export {
  createStatementRecord,
  type AlteredStatement,
  type SessionRecord,
  type StatementRecord,
} from './lib/statementRecord';
