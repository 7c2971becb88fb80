import type { Access } from '@wisterialift/core';
import type { CompletedAnswer, UpstreamStatement } from '@wisterialift/mysql';
import type { CallerMailbox } from '../callerMessages';
import type { TimeLimit } from './timers';
import type { Lease } from './upstreamPool';

/** A statement that a group task has received and not yet answered. @internal */
export interface StatementRun {
  requestId: string;
  statement: UpstreamStatement;
  caller: CallerMailbox;
  /** `statement` for a statement in an open transaction. */
  access: Access | 'statement';
  /** The transaction, if `access` is `commit` or `statement`. */
  transactionId: string | undefined;
  /** Whether the statement may commit its transaction by itself. */
  mayCommit: boolean;
  /** Number of the current attempt, or 0 if there is none. Messages of other attempts are ignored. */
  attempt: number;
  lease: Lease | undefined;
  /** Whether part of the answer has been sent to the caller. */
  hasAnswerStarted: boolean;
  /** The final part of the answer, kept until the engine ends the request. */
  answer: CompletedAnswer | undefined;
  timeLimit: TimeLimit | undefined;
}

/** @internal */
export type StatementRunOptions = Pick<
  StatementRun,
  'requestId' | 'statement' | 'caller' | 'access' | 'transactionId'
> &
  Partial<Pick<StatementRun, 'mayCommit'>>;

/** @internal */
export function createStatementRun(options: StatementRunOptions): StatementRun {
  const { requestId, statement, caller, access, transactionId, mayCommit = false } = options;
  return {
    requestId,
    statement,
    caller,
    access,
    transactionId,
    mayCommit,
    attempt: 0,
    lease: undefined,
    hasAnswerStarted: false,
    answer: undefined,
    timeLimit: undefined,
  };
}

/** Ends the current attempt; later messages of it are ignored. @internal */
export function endAttempt(run: StatementRun): void {
  Object.assign(run, { attempt: 0, lease: undefined });
}
