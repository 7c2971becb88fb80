export { type CallerStatement, type StatementAccess } from './lib/statements/callerStatement';
export {
  type FailureReason,
  type MemberReport,
  type TransactionState,
  type UpstreamAnswer,
  type UpstreamCommand,
} from './lib/statements/upstreamCommand';
export { type FloorSample } from './lib/evidence/floorSamples';
export {
  createGroupEvidence,
  type EvidenceVerdict,
  type EvidenceWait,
  type GroupEvidence,
  type Observation,
} from './lib/evidence/groupEvidence';
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
} from './lib/session/pooledSession';
export { LONG_AGO, longestAge, type ClockReadings } from './lib/timing/clockReadings';
export { remainingUse } from './lib/placing/remainingUse';
export { createReplicaLag, type ReplicaLag, type RequiredLog } from './lib/placing/replicaLag';
export { comeBackTime } from './lib/placing/comeBackTime';
export { longestWait } from './lib/placing/longestWait';
export { chooseNextStatement, type QueuedStatement } from './lib/placing/chooseNextStatement';
export { createLatencyEstimate, type LatencyEstimate } from './lib/placing/latencyEstimate';
export { planHolders, type HolderCandidate, type HolderPlan } from './lib/placing/planHolders';
export { orderMembersForRead, type MemberLoad } from './lib/placing/chooseMember';
export { chooseCandidate, type StoppedReplica } from './lib/promotion/chooseCandidate';
export { settleWrite, type TermOrigin, type WriteFate } from './lib/promotion/settleWrite';
export {
  CLAIM_TAKEOVER_MILLISECONDS,
  CLAIM_VALID_MILLISECONDS,
  isClaimValid,
  promotionRecordSchema,
  type PromotionRecord,
} from './lib/promotion/promotionClaim';
