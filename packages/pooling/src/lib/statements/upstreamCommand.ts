import type { Position } from '@wisterialift/schema';
import type { StatementAccess } from './callerStatement';

/** What a member of a group can be asked to do over one connection. @public */
export type UpstreamCommand =
  /** A caller's statement; with `after`, only on a log that holds that position. */
  | { type: 'forward'; id: string; text: string; after?: Position }
  /** A caller's prepared statement under the name that it has on this connection. */
  | { type: 'execute'; id: string; name: string; argumentsText: string; after?: Position }
  | { type: 'begin'; isReadOnly: boolean; after?: Position }
  | { type: 'rollback' }
  | { type: 'set'; name: string; value: string }
  | { type: 'prepare'; name: string; access: StatementAccess; shape: string }
  /** Clears the values and the prepared statements of the connection. */
  | { type: 'reset' }
  | { type: 'status' }
  /** Stops a replica from receiving the log until the member is promoted, resumed or restarted. */
  | { type: 'pause'; term: number }
  /** Lets a stopped replica receive again. */
  | { type: 'resume' }
  /** Makes a primary of a lower term a replica. */
  | { type: 'demote'; term: number };

/** State of the connection's transaction after an answer. @public */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Why a statement was not done.
 *
 * - `busy`, `lagging`, `readOnly`, `wrongMember`, `tooManyConnections`, `unknownStatement`: it did
 *   not run.
 * - `aborted`: nothing of the caller's attempt is kept.
 * - `failed`: it ran and failed.
 * - `timeout`, `unknownOutcome`: nothing is known.
 *
 * @public
 */
export type FailureReason =
  | 'busy'
  | 'lagging'
  | 'readOnly'
  | 'wrongMember'
  | 'tooManyConnections'
  | 'unknownStatement'
  | 'aborted'
  | 'failed'
  | 'timeout'
  | 'unknownOutcome'
  | 'malformed'
  | 'unknownDatabase';

/** The whole answer of a member; `position` is the log that it has applied, where it told one. @public */
export type UpstreamAnswer = {
  transaction: TransactionState;
  position?: Position;
} & (
  | { outcome: 'completed'; rows: string[]; signature: string }
  | { outcome: 'refused'; reason: FailureReason; detail: string }
);

/** What a member tells of itself. @public */
export interface MemberReport {
  isPrimary: boolean;
  term: number;
  /** End of the log that it holds, applied or not. */
  received: Position;
}
