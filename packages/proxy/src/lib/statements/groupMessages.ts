import type { EngineEvent, EngineRequest } from '@wisterialift/core';
import type { CompletedAnswer, UpstreamStatement } from '@wisterialift/mysql';
import type { UpstreamGroup } from '@wisterialift/schema';
import type { CallerMailbox } from './callerMessages';
import type { StatementRun } from './group/statementRun';
import type { Lease, LeaseFailure } from './group/upstreamPool';
import type { Mailbox } from './mailbox';

/**
 * A message to a group task, from caller tasks, upstream connections, timers or the owner of the group
 * task.
 *
 * @internal
 */
export type GroupMessage =
  | {
      type: 'requestSubmitted';
      request: EngineRequest;
      statement: UpstreamStatement;
      caller: CallerMailbox;
    }
  | { type: 'requestCancelled'; requestId: string }
  | { type: 'transactionStatementSubmitted'; statement: TransactionStatement }
  /** `isClean`: the database has ended the transaction, so its connection can be reused. */
  | { type: 'transactionEnded'; transactionId: string; isClean: boolean }
  /** The write buffer of the caller's socket has filled up or drained. */
  | { type: 'flowChanged'; requestId: string; isPaused: boolean }
  | { type: 'leaseGranted'; run: StatementRun; attempt: number; lease: Lease }
  | { type: 'leaseRefused'; run: StatementRun; attempt: number; failure: LeaseFailure }
  | {
      type: 'framesArrived';
      run: StatementRun;
      attempt: number;
      frames: Buffer[];
      nextSequence: number;
    }
  | { type: 'statementAnswered'; run: StatementRun; attempt: number; answer: CompletedAnswer }
  | { type: 'statementLost'; run: StatementRun; attempt: number }
  | { type: 'leaseClosed'; lease: Lease }
  | { type: 'leaseReset'; lease: Lease }
  | { type: 'upstreamGroupChanged'; upstreamGroup: UpstreamGroup }
  | { type: 'engineEvent'; event: EngineEvent };

/** @internal */
export type GroupMailbox = Mailbox<GroupMessage>;

/** A statement to run on the connection of an open transaction. @internal */
export interface TransactionStatement {
  requestId: string;
  transactionId: string;
  statement: UpstreamStatement;
  /** Whether the statement may commit the transaction by itself. */
  mayCommit: boolean;
  /** When an unfinished statement is cancelled; in milliseconds of the group task's `clock`. */
  deadlineAt: number;
  caller: CallerMailbox;
}
