import type { Access, ClassifiedStatement } from '@wisterialift/core';
import type { CompletedAnswer, SqlError, UpstreamStatement } from '@wisterialift/mysql';
import type { RequestOutcome } from '@wisterialift/schema';
import type { GroupMailbox } from '../groupMessages';
import type { PreparedDescriptionCache } from './preparedDescriptionCache';

/** The outcome and latency of a request, for metrics. @public */
export interface RequestObservation {
  group: string;
  kind: string;
  caller: string;
  access: Access;
  status: RequestOutcome['status'];
  latencyMilliseconds: number;
}

/** What caller tasks use of a group. @internal */
export interface GroupServices {
  mailbox: GroupMailbox;
  descriptions: PreparedDescriptionCache;
}

/** A statement that a caller has sent, as text or as an execute command. @internal */
export interface ReceivedStatement {
  statement: ClassifiedStatement;
  /** Creates the upstream command. Call only once, since it consumes the long parameter values. */
  toUpstream: () => UpstreamStatement;
  /** Whether result rows use the binary protocol, as for prepared statements. */
  isBinary: boolean;
}

/** The result of a request. @internal */
export interface FinishedRequest {
  requestId: string;
  outcome: RequestOutcome;
  /** Set only if the outcome's status is `done`. */
  answer: CompletedAnswer | undefined;
}

/** @internal */
export interface GracefulCloseOptions {
  /** Error that the caller receives when the connection closes. */
  reason: SqlError;
  /**
   * Time after which the next command outside a transaction closes the connection instead of being
   * run. If 0, an idle connection closes at once.
   */
  graceMilliseconds: number;
}
