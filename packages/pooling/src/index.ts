export { type CallerStatement, type StatementAccess } from './lib/statements/callerStatement';
export {
  type FailureReason,
  type MemberReport,
  type TransactionState,
  type UpstreamAnswer,
  type UpstreamCommand,
} from './lib/statements/upstreamCommand';
export { type PositionSample } from './lib/replication/positionHistory';
export {
  createGroupEvidence,
  type ConfirmationResult,
  type EvidenceWait,
  type GroupEvidence,
  type Observation,
} from './lib/replication/replicationTracker';
export {
  applyPreparation,
  countDifferences,
  createConnectionState,
  createSessionState,
  planPreparation,
  sharedStatementName,
  type ConnectionState,
  type PreparedStatement,
  type SessionState,
} from './lib/session/sessionState';
export { LONG_AGO, longestAge, type ClockReadings } from './lib/timing/clockReadings';
export { remainingUse } from './lib/routing/remainingAdmissionTime';
export { createReplicaLag, type ReplicaLag, type RequiredLog } from './lib/routing/replicaLag';
export { comeBackTime } from './lib/routing/retryDelay';
export { longestWait } from './lib/routing/queueWaitLimit';
export { chooseNextStatement, type QueuedStatement } from './lib/routing/chooseNextStatement';
export { createLatencyEstimate, type LatencyEstimate } from './lib/routing/latencyEstimate';
export {
  planHolders,
  type HolderCandidate,
  type HolderPlan,
} from './lib/routing/connectionHolders';
export { orderMembersForRead, type MemberLoad } from './lib/routing/orderMembersForRead';
export { chooseCandidate, type StoppedReplica } from './lib/promotion/promotionCandidate';
export { settleWrite, type TermOrigin, type WriteFate } from './lib/promotion/writeOutcome';
export {
  CLAIM_TAKEOVER_MILLISECONDS,
  CLAIM_VALID_MILLISECONDS,
  isClaimValid,
  promotionRecordSchema,
  type PromotionRecord,
} from './lib/promotion/promotionClaim';
