import type { Access, Statement } from '@wisterialift/core';
import type { CompletedAnswer, SqlError, UpstreamStatement } from '@wisterialift/mysql';
import type { Outcome } from '@wisterialift/schema';
import type { GroupPort } from '../groupMessages';
import type { PreparedDescriptions } from './preparedDescriptions';

/** How one request ended, for counts and latencies. @public */
export interface RequestObservation {
  group: string;
  kind: string;
  caller: string;
  access: Access;
  status: Outcome['status'];
  latencyMilliseconds: number;
}

/** What a caller task has of a group. @internal */
export interface GroupServices {
  port: GroupPort;
  descriptions: PreparedDescriptions;
}

/** A statement with what goes to a database for it. @internal */
export interface StatementWork {
  statement: Statement;
  /** Called once, when the statement is sent. */
  upstream: () => UpstreamStatement;
  /** Whether rows of the proxy's own go out in the form of prepared statements. */
  isBinary: boolean;
}

/** A request with its final answer. @internal */
export interface FinishedRequest {
  requestId: string;
  outcome: Outcome;
  /** Comes with `done` alone. */
  answer: CompletedAnswer | undefined;
}

/** How a connection comes to its end. @internal */
export interface Retirement {
  /** Told to the caller in place of an answer to what it asks too late. */
  reason: SqlError;
  /** Time during which requests that were on their way are still served, in milliseconds. */
  graceMilliseconds: number;
}
