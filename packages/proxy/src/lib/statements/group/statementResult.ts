import type { StatementResult } from '@wisterialift/core';
import type { CompletedAnswer } from '@wisterialift/mysql';
import { parsePosition, type Outcome } from '@wisterialift/schema';
import type { StatementRun } from './statementRun';

/** The database's refusal of a write where it is no primary: nothing of it ran. */
const NOT_PRIMARY_ERROR = 1290;

/** When a transaction whose connection broke may be tried again, in milliseconds. */
const TRANSACTION_RETRY_MILLISECONDS = 100;

const changingAccess: ReadonlySet<StatementRun['access']> = new Set(['write', 'commit']);

/** The outcome of a statement whose transaction was rolled back under it. @internal */
export const TRANSACTION_DISCARDED: Outcome = {
  status: 'discarded',
  retryAfterMilliseconds: TRANSACTION_RETRY_MILLISECONDS,
};

const IMPLICITLY_COMMITTED: Outcome = {
  status: 'unknown',
  reason: 'connectionLost',
  retryAfterMilliseconds: TRANSACTION_RETRY_MILLISECONDS,
};

/** What the engine is told of a whole answer. @internal */
export function resultOf(run: StatementRun, { final }: CompletedAnswer): StatementResult {
  if (final.type === 'error') {
    const { code } = final.error;
    if (code === NOT_PRIMARY_ERROR) return { kind: 'refused', reason: 'notPrimary' };
    return { kind: 'databaseError', code };
  }
  if (final.type !== 'ok' || !changingAccess.has(run.access)) return { kind: 'completed' };
  const position = final.ok.gtid === undefined ? undefined : parsePosition(final.ok.gtid);
  return { kind: 'completed', position };
}

/** What the engine is told of an attempt that it gave up: one without a connection was not sent. @internal */
export function resultOfAbandoned({ lease, hasStarted }: StatementRun): StatementResult {
  if (!lease) return { kind: 'refused', reason: 'connectFailed' };
  return { kind: 'lost', answerStarted: hasStarted };
}

const outcomesByResult: Record<StatementResult['kind'], Outcome> = {
  completed: { status: 'done' },
  databaseError: { status: 'done' },
  refused: TRANSACTION_DISCARDED,
  lost: TRANSACTION_DISCARDED,
};

/** The outcome of a statement within a transaction. @internal */
export function transactionOutcomeOf(run: StatementRun, result: StatementResult): Outcome {
  return hasCommitted(run) ? IMPLICITLY_COMMITTED : outcomesByResult[result.kind];
}

/**
 * Guards against a statement that commits a transaction by itself: its writes would be acknowledged
 * without a majority. It shows as a position in an answer before COMMIT.
 */
function hasCommitted({ answer }: StatementRun): boolean {
  return answer?.final.type === 'ok' && answer.final.ok.gtid !== undefined;
}
