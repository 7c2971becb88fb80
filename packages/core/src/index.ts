export { createGroupEngine } from './lib/engine/groupEngine';
export {
  DEFAULT_ENGINE_POLICY,
  type Access,
  type EngineEffect,
  type EngineEvent,
  type EnginePolicy,
  type EngineRecord,
  type EngineRequest,
  type GroupEngine,
  type GroupEngineOptions,
  type GroupEngineView,
  type MemberView,
  type QuestionFailure,
  type RefusalReason,
  type StatementResult,
  type SuspicionCause,
} from './lib/engine/messages';
export {
  createAdmissionQueue,
  type AdmissionResult,
  type AdmissionQueue,
  type AdmissionQueueOptions,
  type QueuedRequest,
} from './lib/admission/admissionQueue';
export { createHeap, type Heap } from './lib/admission/heap';
export { createServiceEstimate, type ServiceEstimate } from './lib/admission/serviceEstimate';
export {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
} from './lib/admission/retryBudget';
export {
  DEFAULT_CONNECTION_SHARE_TIMES,
  createConnectionShare,
  type ConnectionShare,
  type ConnectionShareOptions,
} from './lib/admission/connectionShare';
export {
  createRunningLimit,
  type RunningLimit,
  type RunningLimitOptions,
} from './lib/admission/runningLimit';
export { classifyStatement } from './lib/session/classifyStatement';
export { InvalidSessionVariableError, createSession, type Session } from './lib/session/session';
export {
  InvalidTokenError,
  decodeToken,
  encodeToken,
  type GroupPosition,
} from './lib/session/sessionToken';
export {
  type Assignment,
  type Statement,
  type StatementRequest,
  type VariableColumn,
} from './lib/session/statement';
export { parseStatementOptions, type StatementOptions } from './lib/session/statementOptions';
export { adoptConfiguration, type AdoptionResult } from './lib/configuration/adoptConfiguration';
export { type ConfigurationFault } from './lib/configuration/configurationFault';
export { EMPTY_CONFIGURATION_OBJECT } from './lib/configuration/emptyConfiguration';
export { mergePatch, type JsonValue } from './lib/configuration/mergePatch';
export {
  createPatchSubmission,
  type PatchOutcome,
  type PatchSubmission,
  type PatchSubmissionOptions,
  type SubmissionEvent,
  type SubmissionStep,
  type VersionedConfiguration,
} from './lib/configuration/patchSubmission';
export {
  findAcceptedPatch,
  preparePatch,
  type PreparedPatch,
} from './lib/configuration/preparePatch';
export { settlePatch, type PatchFinding } from './lib/configuration/settlePatch';
export {
  LEAVING_OVERRIDE_MILLISECONDS,
  MISSED_LISTS_LIMIT,
  createInstanceView,
  instancesOf,
  mergeInstanceList,
  mergeLeaving,
  withSelf,
  type InstanceView,
  type KnownInstance,
} from './lib/membership/instanceView';
export { orderByRendezvous } from './lib/membership/rendezvous';
export { WATCHERS_PER_DATA_CENTRE, chooseWatchers } from './lib/membership/watchers';
export {
  chooseAudience,
  chooseSources,
  isWatcher,
  type ConfigurationSource,
  type InstancePerspective,
} from './lib/membership/audience';
export {
  backOffMilliseconds,
  jitterMilliseconds,
  type BackOffTimes,
} from './lib/membership/backOff';
