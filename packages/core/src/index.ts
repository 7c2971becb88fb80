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
  type ControlRequestFailureReason,
  type RefusalReason,
  type RequestTimes,
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
export { type ClockReadings } from './lib/timing/clockReadings';
export { planEvidencePolls, type EvidencePollPlan } from './lib/reads/evidencePolling';
export { createFairOrder, type FairOrder } from './lib/admission/fairOrder';
export { type FindWeight } from './lib/admission/priorityBand';
export { type FairOrderStatement, type FairOrderTime } from './lib/admission/teamStatements';
export { createHeap, type Heap } from './lib/admission/heap';
export {
  UNKNOWN_INTERVAL_MILLISECONDS,
  computeLatestReturn,
  createReturnCredits,
  createReturnSchedule,
  type CreditOwner,
  type ReturnCredits,
  type ReturnRequest,
  type ReturnSchedule,
} from './lib/admission/returnSchedule';
export { createServiceStatistics, type ServiceStatistics } from './lib/admission/serviceStatistics';
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
  createConcurrencyLimit,
  type ConcurrencyLimit,
  type ConcurrencyLimitOptions,
} from './lib/admission/concurrencyLimit';
export {
  createFailureDetector,
  type FailureDetector,
  type FailureEvent,
  type MemberFailures,
  type MemberRun,
  type MemberStatus,
  type ReadmissionCause,
} from './lib/routing/failureDetector';
export {
  createQueueDelayLimit,
  type QueueDelayLimit,
  type QueueDelayLimitOptions,
  type StatementCompletion,
} from './lib/admission/queueDelayLimit';
export { classifyStatement } from './lib/session/classifyStatement';
export { InvalidSessionVariableError, createSession, type Session } from './lib/session/session';
export {
  InvalidTokenError,
  decodeToken,
  encodeToken,
  type GroupPosition,
} from './lib/session/sessionToken';
export {
  mayCommit,
  type Assignment,
  type ClassifiedStatement,
  type StatementClassification,
  type VariableColumn,
} from './lib/session/statement';
export { parseStatementOptions, type StatementOptions } from './lib/session/statementOptions';
export { decideAdoption, type AdoptionResult } from './lib/configuration/decideAdoption';
export { type ConfigurationFault } from './lib/configuration/configurationFault';
export { EMPTY_CONFIGURATION_OBJECT } from './lib/configuration/emptyConfiguration';
export { mergePatch, type JsonValue } from './lib/configuration/mergePatch';
export type { EstablishedMemberSets } from './lib/configuration/memberChanges';
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
export { findPatchStatus, type PatchStatusResult } from './lib/configuration/findPatchStatus';
export {
  LEAVING_OVERRIDE_MILLISECONDS,
  MISSED_LISTS_LIMIT,
  createInstanceView,
  listInstances,
  mergeInstanceList,
  markLeaving,
  replaceSelf,
  type InstanceView,
  type KnownInstance,
} from './lib/membership/instanceView';
export { orderByRendezvous } from './lib/membership/rendezvous';
export { WATCHERS_PER_DATA_CENTRE, chooseWatchers } from './lib/membership/watchers';
export {
  chooseForwardingTargets,
  orderWatchersToQuery,
  isWatcher,
  type ConfigurationSource,
  type MembershipSnapshot,
} from './lib/membership/configurationForwarding';
export {
  computeBackOffMilliseconds,
  applyJitter,
  type BackOffTimes,
} from './lib/membership/backOff';
export { createTokenBucket, type BucketSize, type TokenBucket } from './lib/limits/tokenBucket';
export {
  computeLimitShare,
  type LimitShare,
  type LimitTolerance,
  type RateLimit,
} from './lib/limits/limitShares';
export { createPermitReserve, type PermitReserve } from './lib/limits/permitReserve';
