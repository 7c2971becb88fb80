import { mayCommit } from '@wisterialift/core';
import type { RequestOutcome } from '@wisterialift/schema';
import type { AnswerWriter } from './answerWriter';
import { createCallerError, createOutcomeError } from './callerErrors';
import type { CallerRequests, TransactionReference } from './callerRequests';
import type { FinishedRequest, GroupServices, ReceivedStatement } from './callerTypes';

/** The transaction of a caller connection. @internal */
export interface CallerTransaction {
  /** Whether the transaction is open at the database. */
  readonly isOpen: boolean;
  /** Whether it is open, or has ended and the caller has not sent COMMIT or ROLLBACK yet. */
  readonly isActive: boolean;
  begin: (received: ReceivedStatement) => void;
  /** Runs a statement in the transaction; requires `isActive`. */
  run: (received: ReceivedStatement) => void;
  commit: (received: ReceivedStatement) => void;
  rollback: (received: ReceivedStatement) => void;
  /** Call when the group task has ended the transaction while no statement of it ran. */
  onLost: (transactionId: string) => void;
  /** Rolls the transaction back because the caller disconnected or reset the connection. */
  discard: () => void;
}

interface Transaction extends TransactionReference {
  /**
   * `discarded` or `unknown` once the transaction has ended without COMMIT or ROLLBACK of the caller;
   * `unknown` if a statement may have committed it. Further statements are refused until the caller
   * ends it; otherwise each would be committed on its own.
   */
  status: 'open' | 'discarded' | 'unknown';
}

/** @internal */
export interface CallerTransactionOptions {
  requests: CallerRequests;
  answers: AnswerWriter;
  findGroup: () => GroupServices | undefined;
}

/** SQLSTATE class of errors after which the whole transaction is rolled back. */
const ROLLBACK_SQLSTATE_CLASS = '40';

/** Answers to statements and COMMIT of a transaction that has ended by itself. */
const ENDED_ERRORS = {
  discarded: createOutcomeError({ status: 'discarded', retryAfterMilliseconds: 0 }),
  unknown: createOutcomeError({
    status: 'unknown',
    reason: 'connectionLost',
    retryAfterMilliseconds: 0,
  }),
};

const ALREADY_OPEN_ERROR = createCallerError(
  'inTransaction',
  'The statement would commit the open transaction by itself; send COMMIT or ROLLBACK first',
);

/** @internal */
export function createCallerTransaction(options: CallerTransactionOptions): CallerTransaction {
  const { requests, answers } = options;
  let transaction: Transaction | undefined;

  /**
   * Does not affect the upstream connection if the group task has already ended the transaction.
   *
   * @param isClean - whether the database has ended the transaction, so its connection can be reused.
   */
  function end(isClean: boolean): void {
    if (transaction) release(transaction, isClean);
    transaction = undefined;
  }

  function release({ id, services }: Transaction, isClean: boolean): void {
    services.mailbox.post({ type: 'transactionEnded', transactionId: id, isClean });
  }

  function onStatementFinished(received: ReceivedStatement, finished: FinishedRequest): void {
    if (transaction && hasEndedTransaction(finished)) {
      // Has no effect if the outcome is not `done`, since the group task has then ended the transaction.
      release(transaction, true);
      const isUnknown = finished.outcome.status === 'unknown' || mayCommit(received.statement);
      transaction.status = isUnknown ? 'unknown' : 'discarded';
    }
    requests.sendAnswer(finished);
  }

  return {
    get isOpen() {
      return transaction?.status === 'open';
    },
    get isActive() {
      return transaction !== undefined;
    },
    begin: (received) => {
      if (transaction?.status === 'open') {
        answers.sendError(ALREADY_OPEN_ERROR);
        return;
      }
      transaction = undefined;
      const services = options.findGroup();
      requests.submit({
        access: 'transaction',
        received,
        onFinished: (finished) => {
          const { requestId, outcome, answer } = finished;
          const hasBegun = outcome.status === 'done' && answer?.final.type === 'ok';
          if (hasBegun && services) transaction = { id: requestId, services, status: 'open' };
          requests.sendAnswer(finished);
        },
      });
    },
    run: (received) => {
      if (!transaction) return;
      if (transaction.status !== 'open') answers.sendError(ENDED_ERRORS[transaction.status]);
      else {
        requests.submitInTransaction({
          received,
          transaction,
          onFinished: (finished) => onStatementFinished(received, finished),
        });
      }
    },
    commit: (received) => {
      if (transaction?.status !== 'open') {
        const error = transaction && ENDED_ERRORS[transaction.status];
        transaction = undefined;
        if (error) answers.sendError(error);
        else answers.sendOk();
        return;
      }
      requests.submit({
        access: 'commit',
        received,
        transaction,
        onFinished: (finished) => {
          // Closes the connection only if COMMIT was not attempted; otherwise the group task has ended
          // the transaction.
          end(false);
          requests.sendAnswer({ ...finished, outcome: toCommitOutcome(finished.outcome) });
        },
      });
    },
    rollback: (received) => {
      if (transaction?.status !== 'open') {
        const isUnknown = transaction?.status === 'unknown';
        transaction = undefined;
        if (isUnknown) answers.sendError(ENDED_ERRORS.unknown);
        else answers.sendOk();
        return;
      }
      requests.submitInTransaction({
        received,
        transaction,
        onFinished: ({ outcome, answer }) => {
          const isClean = outcome.status === 'done' && answer?.final.type === 'ok';
          end(isClean);
          requests.observe('done');
          // The database also rolls back when the connection closes.
          answers.sendOk();
        },
      });
    },
    onLost: (transactionId) => {
      if (transaction?.id === transactionId) transaction.status = 'discarded';
    },
    discard: () => end(false),
  };
}

/** Whether the transaction has ended with the statement: rolled back, lost or committed implicitly. */
function hasEndedTransaction({ outcome, answer }: FinishedRequest): boolean {
  if (outcome.status !== 'done') return true;
  const final = answer?.final;
  return final?.type === 'error' && final.error.state.startsWith(ROLLBACK_SQLSTATE_CLASS);
}

/** If COMMIT was not run, the connection is closed and the database rolls back. */
function toCommitOutcome(outcome: RequestOutcome): RequestOutcome {
  if (outcome.status !== 'notRun') return outcome;
  return { status: 'discarded', retryAfterMilliseconds: outcome.retryAfterMilliseconds };
}
