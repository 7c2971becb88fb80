import type { Access } from '@wisterialift/core';
import type { CompletedAnswer, UpstreamStatement } from '@wisterialift/mysql';
import type { CallerPort } from '../callerMessages';
import type { Lease } from './upstreamPool';

/** A statement of a caller on its way through a group task. @internal */
export interface StatementRun {
  requestId: string;
  statement: UpstreamStatement;
  caller: CallerPort;
  /** `statement` for one within an open transaction. */
  access: Access | 'statement';
  /** Of the transaction that a commit or a statement belongs to. */
  transactionId: string | undefined;
  /** Number of the present attempt; messages of earlier ones are passed over. 0 while there is none. */
  attempt: number;
  lease: Lease | undefined;
  /** Whether a part of the answer has gone to the caller. */
  hasStarted: boolean;
  /** The whole answer, held until the engine lets it go. */
  answer: CompletedAnswer | undefined;
  deadlineTimer: NodeJS.Timeout | undefined;
}

/** What a run starts from. @internal */
export type StatementRunStart = Pick<
  StatementRun,
  'requestId' | 'statement' | 'caller' | 'access' | 'transactionId'
>;

/** Creates a run before its first attempt. @internal */
export function createStatementRun(start: StatementRunStart): StatementRun {
  const { requestId, statement, caller, access, transactionId } = start;
  return {
    requestId,
    statement,
    caller,
    access,
    transactionId,
    attempt: 0,
    lease: undefined,
    hasStarted: false,
    answer: undefined,
    deadlineTimer: undefined,
  };
}

/** Ends the present attempt; whatever comes of it later is passed over. @internal */
export function endAttempt(run: StatementRun): void {
  Object.assign(run, { attempt: 0, lease: undefined });
}
