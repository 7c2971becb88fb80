import type { Position } from '@wisterialift/schema';
import type { PreparedStatement } from './preparedStatement';

/** A command sent to a member of a group over one connection. @public */
export type UpstreamCommand =
  /** A caller's statement; with `after`, it runs only if the member has applied the position. */
  | { type: 'forward'; id: string; text: string; after?: Position }
  /** Executes a statement that is prepared on this connection. */
  | {
      type: 'execute';
      id: string;
      statement: PreparedStatement;
      argumentsText: string;
      after?: Position;
    }
  | { type: 'begin'; isReadOnly: boolean; after?: Position }
  | { type: 'rollback' }
  | { type: 'set'; name: string; value: string }
  | { type: 'prepare'; statement: PreparedStatement }
  /** Clears the variables and the prepared statements of the connection. */
  | { type: 'reset' }
  | { type: 'status' }
  /** Stops a replica from receiving the log until the member is promoted, resumed or restarted. */
  | { type: 'pause'; term: number }
  /** Lets a paused replica receive the log again. */
  | { type: 'resume' }
  /** Turns a primary of a lower term into a replica. */
  | { type: 'demote'; term: number };

/** Transaction state of the connection after an answer. @public */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Why a statement did not complete.
 *
 * - `busy`, `lagging`, `readOnly`, `wrongMember`, `tooManyConnections`, `unknownStatement`,
 *   `malformed`, `unknownDatabase`, `unauthenticated`: it did not run.
 * - `aborted`: it had no lasting effect.
 * - `failed`: it ran and failed.
 * - `timeout`, `unknownOutcome`: it may or may not have run.
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
  | 'unknownDatabase'
  /** The caller's key is missing, unknown or no longer valid. */
  | 'unauthenticated';

/**
 * A member's complete answer; `position` is the end of its applied log, if it reported one.
 *
 * - `completed`: `signature` identifies the database that ran the statement.
 * - `refused`: any answer other than completion, so the statement may have run; see
 *   {@link FailureReason}.
 *
 * @public
 */
export type UpstreamAnswer = {
  transaction: TransactionState;
  position?: Position;
} & (
  | { outcome: 'completed'; rows: string[]; signature: string }
  | { outcome: 'refused'; reason: FailureReason; detail: string }
);

/** State of a member, read by the driver from its answer to a command. @public */
export interface MemberReport {
  isPrimary: boolean;
  term: number;
  /** End of the log that the member has received, applied or not. */
  received: Position;
}
