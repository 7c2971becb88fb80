import type { Access, Statement } from '@wisterialift/core';
import type { CompletedAnswer, SqlError, UpstreamStatement } from '@wisterialift/mysql';
import type { Outcome } from '@wisterialift/schema';
import type { GroupMailbox } from '../groupMessages';
import type { PreparedDescriptionCache } from './preparedDescriptionCache';

/** The outcome and latency of a request, for metrics. @public */
export interface RequestObservation {
  group: string;
  kind: string;
  caller: string;
  access: Access;
  status: Outcome['status'];
  latencyMilliseconds: number;
}

/** What caller tasks use of a group. @internal */
export interface GroupServices {
  mailbox: GroupMailbox;
  descriptions: PreparedDescriptionCache;
}

/** A statement that a caller has sent, as text or as an execute command. @internal */
export interface ReceivedStatement {
  statement: Statement;
  /** Creates the upstream command. Call only once, since it consumes the long parameter values. */
  toUpstream: () => UpstreamStatement;
  /** Whether result rows use the binary protocol, as for prepared statements. */
  isBinary: boolean;
}

/** A request with its final answer. @internal */
export interface FinishedRequest {
  requestId: string;
  outcome: Outcome;
  /** Set only if the outcome's status is `done`. */
  answer: CompletedAnswer | undefined;
}

/** Options of a graceful close. @internal */
export interface GracefulClose {
  /** Error that the caller receives when the connection closes. */
  reason: SqlError;
  /** How long new requests are still served, in milliseconds. */
  graceMilliseconds: number;
}
