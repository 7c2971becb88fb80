import type { EngineEvent, EngineRequest } from '@wisterialift/core';
import type { CompletedAnswer, UpstreamStatement } from '@wisterialift/mysql';
import type { UpstreamGroup } from '@wisterialift/schema';
import type { CallerPort } from './callerMessages';
import type { StatementRun } from './group/statementRun';
import type { Lease, LeaseFailure } from './group/upstreamPool';
import type { Mailbox } from './mailbox';

/** What a group task is asked to do, and what its connections tell it. @internal */
export type GroupMessage =
  | {
      type: 'requestSubmitted';
      request: EngineRequest;
      statement: UpstreamStatement;
      caller: CallerPort;
    }
  | { type: 'requestWithdrawn'; requestId: string }
  | { type: 'transactionStatementSubmitted'; statement: TransactionStatement }
  /** `isClean` where the database has ended the transaction, so that its connection can be used again. */
  | { type: 'transactionEnded'; transactionId: string; isClean: boolean }
  /** The caller's socket is full, or has room again. */
  | { type: 'flowChanged'; requestId: string; isPaused: boolean }
  | { type: 'leaseGranted'; run: StatementRun; attempt: number; lease: Lease }
  | { type: 'leaseRefused'; run: StatementRun; attempt: number; failure: LeaseFailure }
  | { type: 'framesArrived'; run: StatementRun; attempt: number; frames: Buffer[]; next: number }
  | { type: 'statementAnswered'; run: StatementRun; attempt: number; answer: CompletedAnswer }
  | { type: 'statementLost'; run: StatementRun; attempt: number }
  | { type: 'leaseClosed'; lease: Lease }
  | { type: 'transactionReset'; lease: Lease }
  | { type: 'upstreamGroupChanged'; upstreamGroup: UpstreamGroup }
  | { type: 'engineEvent'; event: EngineEvent };

/** @internal */
export type GroupPort = Mailbox<GroupMessage>;

/** A statement within an open transaction, which goes to the transaction's own connection. @internal */
export interface TransactionStatement {
  requestId: string;
  transactionId: string;
  statement: UpstreamStatement;
  /** Time of the engine's clock at which the transaction is given up. */
  deadlineAt: number;
  caller: CallerPort;
}
