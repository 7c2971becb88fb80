import type { StatementResult } from '@wisterialift/core';
import type { CompletedAnswer } from '@wisterialift/mysql';
import { parsePosition, type RequestOutcome } from '@wisterialift/schema';
import type { StatementRun } from './statementRun';

/** Error of a replica that receives a write; nothing was run. */
const NOT_PRIMARY_ERROR_CODE = 1290;

const TRANSACTION_RETRY_DELAY_MILLISECONDS = 100;

const modifyingAccess: ReadonlySet<StatementRun['access']> = new Set(['write', 'commit']);

/** The outcome of a statement whose transaction was rolled back. @internal */
export const TRANSACTION_DISCARDED_OUTCOME: RequestOutcome = {
  status: 'discarded',
  retryAfterMilliseconds: TRANSACTION_RETRY_DELAY_MILLISECONDS,
};

const IMPLICIT_COMMIT_OUTCOME: RequestOutcome = {
  status: 'unknown',
  reason: 'connectionLost',
  retryAfterMilliseconds: TRANSACTION_RETRY_DELAY_MILLISECONDS,
};

/** Converts a complete answer to a result for the engine. @internal */
export function toStatementResult(run: StatementRun, { final }: CompletedAnswer): StatementResult {
  if (final.type === 'error') {
    const { code } = final.error;
    if (code === NOT_PRIMARY_ERROR_CODE) return { kind: 'refused', reason: 'notPrimary' };
    return { kind: 'databaseError', code };
  }
  if (final.type !== 'ok' || !modifyingAccess.has(run.access)) return { kind: 'completed' };
  const position = final.ok.gtid === undefined ? undefined : parsePosition(final.ok.gtid);
  return { kind: 'completed', position };
}

/** The result of a cancelled attempt; without a connection nothing was sent. @internal */
export function toCancelledResult({ lease, hasAnswerStarted }: StatementRun): StatementResult {
  if (!lease) return { kind: 'refused', reason: 'connectFailed' };
  return { kind: 'lost', answerStarted: hasAnswerStarted };
}

const outcomeByResultKind: Record<StatementResult['kind'], RequestOutcome> = {
  completed: { status: 'done' },
  databaseError: { status: 'done' },
  refused: TRANSACTION_DISCARDED_OUTCOME,
  lost: TRANSACTION_DISCARDED_OUTCOME,
};

/** Converts the result of a statement in a transaction to its outcome. @internal */
export function toTransactionOutcome(run: StatementRun, result: StatementResult): RequestOutcome {
  const isLostCommit = result.kind === 'lost' && run.mayCommit;
  if (isLostCommit || hasCommitted(run)) return IMPLICIT_COMMIT_OUTCOME;
  return outcomeByResultKind[result.kind];
}

/**
 * Whether a statement has committed its transaction implicitly, without confirmation by a majority.
 * Its OK packet then has a GTID; without an implicit commit, only that of COMMIT has one.
 */
function hasCommitted({ answer }: StatementRun): boolean {
  return answer?.final.type === 'ok' && answer.final.ok.gtid !== undefined;
}
