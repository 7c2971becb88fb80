import type { Database, MemberStatus, Outcome, Position } from '@wisterialift/schema';

/**
 * What a request needs from a database.
 *
 * - `read`: any member that is fresh enough.
 * - `write`: the primary, outside a transaction of the caller's own.
 * - `transaction`: BEGIN; keeps its upstream connection and its place until `transactionFinished`.
 * - `commit`: COMMIT of a transaction that the engine admitted before.
 *
 * @public
 */
export type Access = 'read' | 'write' | 'transaction' | 'commit';

/** A request as the engine sees it; the statement's text stays with the task that owns it. @public */
export interface EngineRequest {
  requestId: string;
  caller: string;
  /** Share of a full queue relative to other callers. */
  weight: number;
  kind: string;
  access: Access;
  /** Position that the caller's session must see; absent where the session carries none. */
  token?: Position;
  /** Milliseconds of accepted age; 0 asks for read-your-writes. */
  maximumStalenessMilliseconds: number;
  /** Milliseconds on the engine's clock. */
  arrivedAt: number;
  deadlineAt: number;
  priority: number;
  isRepeatable: boolean;
  /** Request id of the BEGIN; given with access `commit` alone. */
  transactionId?: string;
}

/** How one attempt at a statement ended at its upstream connection. @public */
export type StatementResult =
  /** The database answered; `position` is that of the log entry which the statement wrote, if any. */
  | { kind: 'completed'; position?: Position }
  /** The database answered with an error of its own; the statement changed nothing. */
  | { kind: 'databaseError'; code: number }
  /** Not sent, or refused before it ran. */
  | { kind: 'refused'; reason: RefusalReason }
  /** Sent, and the connection ended before the whole answer; `answerStarted` once a byte of it was forwarded. */
  | { kind: 'lost'; answerStarted: boolean };

/** @public */
export type RefusalReason = 'connectionLimit' | 'connectFailed' | 'notPrimary' | 'stopping';

/** @public */
export type QuestionFailure = 'timeout' | 'unreachable' | 'refused';

/** An input of the engine. @public */
export type EngineEvent =
  | { type: 'requestArrived'; request: EngineRequest }
  /** The caller has gone; nobody waits for the answer any more. */
  | { type: 'requestCancelled'; requestId: string }
  | { type: 'statementFinished'; requestId: string; attempt: number; result: StatementResult }
  /** The transaction's upstream connection was returned or closed. */
  | { type: 'transactionFinished'; transactionId: string }
  | { type: 'statusAnswered'; questionId: number; status: MemberStatus }
  | { type: 'questionFailed'; questionId: number; reason: QuestionFailure }
  | { type: 'groupChanged'; databases: Database[] }
  /** Names of the instances that the lagging list shows as live, this one included. */
  | { type: 'instancesChanged'; liveInstances: string[] }
  /** Another instance published a primary; a hint that a look is due, never a decision. */
  | { type: 'primaryPublished'; term: number; primary: string }
  /** A stopping instance serves what it has and starts no promotion. */
  | { type: 'drainStarted' }
  | { type: 'timerFired' };

/** An order of the engine to the tasks round it. @public */
export type EngineEffect =
  | { type: 'runStatement'; requestId: string; attempt: number; member: string }
  /**
   * Close the upstream connection of this attempt; its late answer is never reused. With `reportsLoss`
   * the request is still open, and the engine waits for `statementFinished` with the result `lost`.
   */
  | { type: 'abandonStatement'; requestId: string; attempt: number; reportsLoss?: true }
  /** The final answer. For `done`, the held answer of the last attempt is released to the caller. */
  | { type: 'answerRequest'; requestId: string; outcome: Outcome }
  | { type: 'askStatus'; questionId: number; member: string }
  /** Ask a member to record `term`; it refuses unless `term` is above the term it has recorded. */
  | { type: 'fence'; questionId: number; member: string; term: number }
  /** Ask a member that has recorded exactly `term` to become its primary. */
  | { type: 'promote'; questionId: number; member: string; term: number }
  /** Ask a member to follow the primary of `term`. */
  | { type: 'follow'; questionId: number; member: string; term: number; primary: string }
  | { type: 'publishPrimary'; term: number; primary: string }
  /** Wake the engine at this time; replaces the timer set before. */
  | { type: 'setTimer'; at: number }
  | { type: 'record'; record: EngineRecord };

/**
 * Why the group needs another primary, or the same one at a new term.
 *
 * - `silent`: the primary does not answer, a majority of the others does.
 * - `unconfirmed`: it answers, but its writes reach no other member.
 * - `absent`: a majority answers, and none is the primary of its term.
 * - `leaving`: the primary is to receive no more work.
 * - `stranded`: a member recorded a term above the primary's and can follow it no more.
 *
 * @public
 */
export type SuspicionCause = 'silent' | 'unconfirmed' | 'absent' | 'leaving' | 'stranded';

/** A decision worth a line in the log or a count in the metrics. @public */
export type EngineRecord =
  | { name: 'primarySuspected'; member: string; cause: SuspicionCause }
  | { name: 'suspicionCleared'; member: string }
  | { name: 'termFenced'; term: number; members: string[] }
  | { name: 'fenceFailed'; term: number; granted: number; needed: number }
  | { name: 'primaryPromoted'; term: number; member: string; silentMilliseconds: number }
  | { name: 'primaryLearned'; term: number; member: string }
  | { name: 'memberAttached'; term: number; member: string }
  | { name: 'readRouted'; member: string; isReplica: boolean; by: 'token' | 'floor' | 'staleness' }
  | { name: 'writeConfirmed'; waitedMilliseconds: number }
  | { name: 'requestRetried'; requestId: string; attempt: number; reason: string }
  | { name: 'requestRejected'; requestId: string; reason: string; retryAfterMilliseconds: number };

/** Limits and intervals of an engine; all times in milliseconds. @public */
export interface EnginePolicy {
  /** Pause between status questions to a member while nothing waits for it. */
  probeIntervalMilliseconds: number;
  /** The same for a group that nobody uses and with which nothing is wrong. */
  idleProbeIntervalMilliseconds: number;
  /** A question without an answer for this long has failed. */
  questionTimeoutMilliseconds: number;
  /** A member that has not answered for this long counts as silent. */
  suspicionMilliseconds: number;
  /** Shortest pause between confirmation rounds while a write waits. */
  confirmIntervalMilliseconds: number;
  queueLength: number;
  /** Retries in proportion to first tries. */
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
  /** Name and data centre of the instance that the engine decides for. */
  instance: string;
  dataCentre: string;
  databases: Database[];
  policy: EnginePolicy;
  /** Uniform random numbers in [0, 1); a seed makes a run repeatable. */
  random: () => number;
}

/** What an engine shows of itself to operators. @public */
export interface GroupEngineView {
  group: string;
  term: number;
  primary: string | undefined;
  phase: string;
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
  /** Milliseconds since the member last answered; undefined before its first answer. */
  silentMilliseconds: number | undefined;
  connectionShare: number;
  running: number;
  isLeaving: boolean;
}

/** The decisions for one upstream group at one instance: events in, effects out. @public */
export interface GroupEngine {
  /** @param now - milliseconds on a clock that never goes back. */
  handle: (event: EngineEvent, now: number) => EngineEffect[];
  view: (now: number) => GroupEngineView;
}
