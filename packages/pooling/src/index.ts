export { type CallerStatement, type StatementAccess } from './lib/statements/callerStatement';
export { type PreparedStatement } from './lib/statements/preparedStatement';
export {
  type FailureReason,
  type MemberReport,
  type TransactionState,
  type UpstreamAnswer,
  type UpstreamCommand,
} from './lib/statements/upstreamCommand';
export { type PositionSample } from './lib/replication/positionHistory';
export {
  createReplicationTracker,
  type AgeLimit,
  type ConfirmationResult,
  type ConfirmationWait,
  type HolderOptions,
  type ObservationWait,
  type ReplicationWait,
  type SettlementResult,
  type ReplicationTracker,
  type MemberObservation,
} from './lib/replication/replicationTracker';
export {
  applyStateCommand,
  countVariableCommands,
  createConnectionState,
  createSessionState,
  planStateRestore,
  forgetPreparedStatements,
  isPrepared,
  setSessionValue,
  type ConnectionState,
  type SessionState,
} from './lib/session/sessionState';
export {
  canUseConnection,
  chooseWaitingStatement,
  findUncoveredStatements,
  type ConnectionNeed,
  type ConnectionOwner,
} from './lib/connections/connectionOwnership';
export {
  computeConnectionShare,
  computeEvenShare,
  MAXIMUM_CONNECTION_PART,
  type ConnectionShareInput,
} from './lib/connections/connectionShare';
export { chooseConnectionToClose } from './lib/connections/chooseConnectionToClose';
export { createOwnerUsage, type OwnerUsage } from './lib/connections/ownerUsage';
export { createClockComparison, type ClockComparison } from './lib/timing/clockComparison';
export {
  DISTANT_PAST_READINGS,
  computeAgeUpperBound,
  type ClockReadings,
} from './lib/timing/clockReadings';
export { computeRemainingAdmissionTime } from './lib/routing/remainingAdmissionTime';
export {
  createLagEstimate,
  type LagEstimate,
  type RequiredPosition,
} from './lib/routing/lagEstimate';
export { computeRetryDelay } from './lib/routing/retryDelay';
export { computeMaximumQueueWait } from './lib/routing/queueWaitLimit';
export { chooseNextStatement, type QueuedStatement } from './lib/routing/chooseNextStatement';
export { createLatencyEstimate, type LatencyEstimate } from './lib/routing/latencyEstimate';
export { planConnectionHolders, type ConnectionHolderPlan } from './lib/routing/connectionHolders';
export { type ConnectionHolderCandidate } from './lib/routing/holdingInstances';
export {
  createLimitAllocatorPlanner,
  type LimitAllocatorPlan,
  type LimitAllocatorPlanner,
} from './lib/routing/limitAllocators';
export { orderMembersForRead, type MemberLoad } from './lib/routing/orderMembersForRead';
export {
  DEPARTURE_TIMEOUT_MILLISECONDS,
  isDirectoryValid,
  isListingValid,
  isMemberListComplete,
  MEMBER_SETTLING_MILLISECONDS,
  REGISTRATION_DELAY_MILLISECONDS,
} from './lib/membership/directoryValidity';
export { createKnownMembers, type KnownMembers } from './lib/membership/knownMembers';
export {
  assessPromotionCoverage,
  type PromotionCoverage,
  type PromotionCoverageOptions,
} from './lib/membership/promotionCoverage';
export { planRegisterUpdate } from './lib/membership/registerUpdate';
export { createDepartedMembers, type DepartedMembers } from './lib/membership/departedMembers';
export {
  isEveryCommitHeld,
  isSameLife,
  isSameListing,
  memberRegisterSchema,
  renewListing,
  subtractMembers,
  type MemberRegister,
  type RegisteredMember,
} from './lib/membership/memberRegister';
export {
  createRecentListings,
  type ListedMember,
  type RecentListings,
} from './lib/membership/recentListings';
export { choosePromotionCandidate, type PausedReplica } from './lib/promotion/promotionCandidate';
export {
  determineCommitOutcome,
  holdsTermStart,
  type CommitOutcome,
  type TermStart,
} from './lib/promotion/termStart';
export {
  CLAIM_TAKEOVER_MILLISECONDS,
  CLAIM_VALID_MILLISECONDS,
  isClaimValid,
  promotionRecordSchema,
  repairPromotionRecord,
  type PromotionRecord,
} from './lib/promotion/promotionClaim';
