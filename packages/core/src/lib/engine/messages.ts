import type { Database, MemberStatus, RequestOutcome, Position } from '@wisterialift/schema';
import type { ClockReadings } from '../timing/clockReadings';

/**
 * Kind of database access that a request needs.
 *
 * - `read`: any member that is fresh enough.
 * - `write`: the primary, outside a transaction opened by the caller.
 * - `transaction`: BEGIN; keeps its upstream connection until `transactionFinished`.
 * - `commit`: COMMIT of a transaction that the engine has started.
 *
 * @public
 */
export type Access = 'read' | 'write' | 'transaction' | 'commit';

/** A request without its statement text, which stays with the caller of the engine. @public */
export interface EngineRequest {
  requestId: string;
  caller: string;
  /** Relative share of the queue when it is full. */
  weight: number;
  /** Named by the caller; selects settings of the request and labels its metrics. */
  kind: string;
  access: Access;
  /** Position that the caller's session must observe, if any. */
  token?: Position;
  /** Accepted staleness; 0 requires read-your-writes consistency. */
  maximumStalenessMilliseconds: number;
  /** Milliseconds on the engine's clock. */
  arrivedAt: number;
  /** Milliseconds on the engine's clock. */
  deadlineAt: number;
  /** Higher goes first among the requests of one caller. */
  priority: number;
  isRepeatable: boolean;
  /** Request id of the BEGIN; set only for access `commit`. */
  transactionId?: string;
}

/** Result of one attempt to run a statement on an upstream connection. @public */
export type StatementResult =
  /** The statement succeeded; `position` is that of the log entry it wrote, if any. */
  | { kind: 'completed'; position?: Position }
  /** The database returned an error; the statement changed nothing. */
  | { kind: 'databaseError'; code: number }
  /** The statement was not sent, or was refused before it ran. */
  | { kind: 'refused'; reason: RefusalReason }
  /** The connection closed before the response was complete; `answerStarted` if part of it was forwarded. */
  | { kind: 'lost'; answerStarted: boolean };

/** @public */
export type RefusalReason =
  | 'connectionLimit'
  | 'connectFailed'
  | 'notPrimary'
  /** The connection reached another incarnation of the database than the effect named. */
  | 'otherIncarnation'
  | 'stopping';

/** @public */
export type ControlRequestFailureReason = 'timeout' | 'unreachable' | 'refused';

/** An input of the engine. @public */
export type EngineEvent =
  | { type: 'requestArrived'; request: EngineRequest }
  /** The caller has disconnected or cancelled the request. */
  | { type: 'requestCancelled'; requestId: string }
  | { type: 'statementFinished'; requestId: string; attempt: number; result: StatementResult }
  /** Part of the response of an attempt has been forwarded to the caller. */
  | { type: 'answerContinued'; requestId: string; attempt: number }
  /** The transaction's upstream connection was returned or closed. */
  | { type: 'transactionFinished'; transactionId: string }
  | { type: 'statusAnswered'; questionId: number; status: MemberStatus }
  | { type: 'questionFailed'; questionId: number; reason: ControlRequestFailureReason }
  /** `memberSet` is the number of the list of members; unchanged if undefined. */
  | { type: 'groupChanged'; databases: Database[]; memberSet?: number }
  /** Names of the live instances, including this one; the list may lag behind. */
  | { type: 'instancesChanged'; liveInstances: string[] }
  /** Another instance published a primary; the engine verifies it with status requests. */
  | { type: 'primaryPublished'; term: number; primary: string }
  /** The instance is shutting down: it completes open requests and starts no failover. */
  | { type: 'drainStarted' }
  /** The time of `setTimer` has passed, and all data that had arrived by then has been handled. */
  | { type: 'timerFired' };

/** An action for the code that runs the engine. @public */
export type EngineEffect =
  /**
   * Run the statement on a connection to this incarnation of the member; only COMMIT runs on the connection
   * of its transaction.
   */
  | {
      type: 'runStatement';
      requestId: string;
      attempt: number;
      member: string;
      incarnation: string;
    }
  /**
   * Close the upstream connection of this attempt and drop its response. With `reportsLoss` the
   * request stays open until `statementFinished` arrives with the result `lost`.
   */
  | { type: 'abandonStatement'; requestId: string; attempt: number; reportsLoss?: true }
  /** Complete the request; for `done`, send the response of the last attempt to the caller. */
  | { type: 'answerRequest'; requestId: string; outcome: RequestOutcome }
  /** Request the member's status. */
  | { type: 'askStatus'; questionId: number; member: string }
  /** Make a member record `term`; it refuses unless `term` is above its recorded term. */
  | { type: 'fence'; questionId: number; member: string; term: number }
  /** Promote a member; it refuses unless its recorded term is exactly `term`. */
  | { type: 'promote'; questionId: number; member: string; term: number }
  /** Make a member replicate from the primary of `term`. */
  | { type: 'follow'; questionId: number; member: string; term: number; primary: string }
  /**
   * Make the primary of `term` write an entry that names the incarnations of the voters; it refuses unless
   * its newest such entry is at `after`.
   */
  | {
      type: 'nameVoters';
      questionId: number;
      member: string;
      term: number;
      after: Position;
      incarnations: Record<string, string>;
    }
  /** Announce a newly promoted primary to the other instances. */
  | { type: 'publishPrimary'; term: number; primary: string }
  /** Send `timerFired` at this time; replaces the previous timer. */
  | { type: 'setTimer'; at: number }
  | { type: 'record'; record: EngineRecord };

/**
 * Reason for a failover.
 *
 * - `silent`: the primary does not respond, while a majority of the other members does.
 * - `unconfirmed`: the primary responds, but its writes are not replicated.
 * - `absent`: a majority responds, but no member reports itself as primary of the majority's term or
 *   a higher one.
 * - `leaving`: the primary is being taken out of service.
 * - `membersChanged`: the members have changed since the term of the primary began.
 * - `stranded`: a member has recorded a higher term and can no longer follow the primary.
 *
 * @public
 */
export type SuspicionCause =
  'silent' | 'unconfirmed' | 'absent' | 'leaving' | 'membersChanged' | 'stranded';

/** Where the time of a request went that has reached its deadline, in milliseconds. @public */
export interface RequestTimes {
  /** Time limit of the request. */
  limitMilliseconds: number;
  /** From its arrival until the start of its last attempt; all of its time without an attempt. */
  queuedMilliseconds: number;
  /** From the start of its last attempt until the first part of the response. */
  respondingMilliseconds: number;
  /** From the first part of the response until the last one. */
  forwardingMilliseconds: number;
  /** Since the last part of the response, during which the member or the caller has stalled. */
  stalledMilliseconds: number;
  attempts: number;
}

/** A decision to be logged and counted in metrics. @public */
export type EngineRecord =
  /** `member` is empty for the cause `absent`. */
  | { name: 'primarySuspected'; member: string; cause: SuspicionCause }
  | { name: 'suspicionCleared'; member: string }
  | { name: 'termFenced'; term: number; members: string[] }
  | { name: 'fenceFailed'; term: number; granted: number; needed: number }
  | { name: 'primaryPromoted'; term: number; member: string; silentMilliseconds: number }
  | { name: 'primaryLearned'; term: number; member: string }
  | { name: 'memberAttached'; term: number; member: string }
  | { name: 'votersNamed'; term: number; incarnations: Record<string, string> }
  /**
   * `by` is `staleness` if the member was within the accepted staleness. Otherwise the member has
   * applied the minimum position: `token` if the request carries a session position, else `floor`.
   */
  | { name: 'readRouted'; member: string; isReplica: boolean; by: 'token' | 'floor' | 'staleness' }
  | { name: 'writeConfirmed'; waitedMilliseconds: number }
  | { name: 'requestRetried'; requestId: string; attempt: number; reason: string }
  | { name: 'requestRejected'; requestId: string; reason: string; retryAfterMilliseconds: number }
  | ({ name: 'requestExpired'; requestId: string; access: Access } & RequestTimes);

/** Limits and intervals of an engine; all times in milliseconds. @public */
export interface EnginePolicy {
  /** Interval between status requests to a member while no request needs a newer status. */
  probeIntervalMilliseconds: number;
  /** Probe interval for groups that are idle and healthy. */
  idleProbeIntervalMilliseconds: number;
  /** Timeout of requests to members (status and commands). */
  questionTimeoutMilliseconds: number;
  /** A member that has not responded for this long is considered silent. */
  suspicionMilliseconds: number;
  /**
   * Minimum interval between status requests while a write awaits confirmation or a request awaits
   * its minimum position.
   */
  confirmIntervalMilliseconds: number;
  /** Maximum waiting requests; applies to reads and to other requests separately. */
  queueLength: number;
  /** Maximum ratio of retries to first attempts. */
  retryShare: number;
}

/** @public */
export const DEFAULT_ENGINE_POLICY: EnginePolicy = {
  probeIntervalMilliseconds: 100,
  idleProbeIntervalMilliseconds: 1_000,
  questionTimeoutMilliseconds: 250,
  suspicionMilliseconds: 400,
  confirmIntervalMilliseconds: 1,
  queueLength: 1_000,
  retryShare: 0.1,
};

/** @public */
export interface GroupEngineOptions {
  group: string;
  /** Name of the instance that runs the engine. */
  instance: string;
  dataCentre: string;
  databases: Database[];
  /** Number of the list of members; 0 by default. */
  memberSet?: number;
  policy: EnginePolicy;
  /** Returns a uniformly distributed number in [0, 1). */
  random: () => number;
}

/** State of an engine as shown to operators. @public */
export interface GroupEngineView {
  group: string;
  term: number;
  primary: string | undefined;
  /** Phase of the failover; `looking` verifies a suspicion with new status requests. */
  phase: string;
  /** Number of the list of members in use. */
  memberSet: number;
  /**
   * Highest number of a list of members for which the logs of a majority are known to have ended in a term
   * of it; undefined before the first. From then on, no former list can confirm a write.
   */
  establishedMemberSet: number | undefined;
  queued: number;
  running: number;
  members: MemberView[];
}

/** @public */
export interface MemberView {
  name: string;
  dataCentre: string;
  role: 'primary' | 'replica' | 'unknown';
  applied: Position | undefined;
  /** Time since the last answered request was sent; undefined before the first response. */
  silentMilliseconds: number | undefined;
  /** Maximum connections of this instance to the member. */
  connectionShare: number;
  running: number;
  isLeaving: boolean;
}

/** Routing and failover logic of one upstream group: events in, effects out. @public */
export interface GroupEngine {
  /**
   * @param readings - the monotonic clock is that of all other times of the engine; the wall clock
   *   shows that the machine was suspended.
   */
  handle: (event: EngineEvent, readings: ClockReadings) => EngineEffect[];
  /** @param now - milliseconds on the monotonic clock. */
  view: (now: number) => GroupEngineView;
}
