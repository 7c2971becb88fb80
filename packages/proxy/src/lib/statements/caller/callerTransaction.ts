import type { Outcome } from '@wisterialift/schema';
import type { AnswerWriter } from './answerWriter';
import { callerError, outcomeError } from './callerErrors';
import type { CallerRequests, TransactionReference } from './callerRequests';
import type { FinishedRequest, GroupServices, StatementWork } from './callerTypes';

/** The transaction of a caller connection. @internal */
export interface CallerTransaction {
  /** Whether the database has it open. */
  readonly isOpen: boolean;
  /** Whether statements belong to it: it is open, or was discarded and the caller has not ended it. */
  readonly isPresent: boolean;
  begin: (work: StatementWork) => void;
  /** Runs a statement within the transaction; `isPresent` holds. */
  run: (work: StatementWork) => void;
  commit: (work: StatementWork) => void;
  rollback: (work: StatementWork) => void;
  /** The transaction's connection broke between two statements. */
  onLost: (transactionId: string) => void;
  /** Ends it without a word of the caller's. */
  abandon: () => void;
}

interface Transaction extends TransactionReference {
  /**
   * `discarded` once the database has rolled it back by itself. Statements that followed would run
   * each by itself and be kept although the first part is gone, so they are refused until the caller
   * ends the transaction.
   */
  status: 'open' | 'discarded';
}

/** @internal */
export interface CallerTransactionOptions {
  requests: CallerRequests;
  answers: AnswerWriter;
  findGroup: () => GroupServices | undefined;
}

/** SQLSTATE class of errors with which a database rolls the whole transaction back. */
const ROLLBACK_CLASS = '40';

const ROLLED_BACK = outcomeError({ status: 'discarded', retryAfterMilliseconds: 0 });

const ALREADY_OPEN = callerError(
  'inTransaction',
  'The statement would commit the open transaction by itself; send COMMIT or ROLLBACK first',
);

/** Creates the transaction of a caller connection; none is open at first. @internal */
export function createCallerTransaction(options: CallerTransactionOptions): CallerTransaction {
  const { requests, answers } = options;
  let transaction: Transaction | undefined;

  /** @param isClean - whether the database has ended the transaction and its connection may go on. */
  function end(isClean: boolean): void {
    if (transaction) release(transaction, isClean);
    transaction = undefined;
  }

  function release({ id, services }: Transaction, isClean: boolean): void {
    services.port.post({ type: 'transactionEnded', transactionId: id, isClean });
  }

  function onStatementFinished(finished: FinishedRequest): void {
    if (transaction && isRolledBack(finished)) {
      release(transaction, true);
      transaction.status = 'discarded';
    }
    requests.deliver(finished);
  }

  return {
    get isOpen() {
      return transaction?.status === 'open';
    },
    get isPresent() {
      return transaction !== undefined;
    },
    begin: (work) => {
      if (transaction?.status === 'open') {
        answers.error(ALREADY_OPEN);
        return;
      }
      transaction = undefined;
      const services = options.findGroup();
      requests.submit({
        access: 'transaction',
        work,
        onFinished: (finished) => {
          const { requestId, outcome, answer } = finished;
          const hasBegun = outcome.status === 'done' && answer?.final.type === 'ok';
          if (hasBegun && services) transaction = { id: requestId, services, status: 'open' };
          requests.deliver(finished);
        },
      });
    },
    run: (work) => {
      if (!transaction) return;
      if (transaction.status === 'discarded') answers.error(ROLLED_BACK);
      else {
        requests.submitInTransaction({ work, transaction, onFinished: onStatementFinished });
      }
    },
    commit: (work) => {
      if (transaction?.status !== 'open') {
        const hadStatements = transaction !== undefined;
        transaction = undefined;
        if (hadStatements) answers.error(ROLLED_BACK);
        else answers.ok();
        return;
      }
      requests.submit({
        access: 'commit',
        work,
        transaction,
        onFinished: (finished) => {
          end(false);
          requests.deliver({ ...finished, outcome: toCommitOutcome(finished.outcome) });
        },
      });
    },
    rollback: (work) => {
      if (transaction?.status !== 'open') {
        transaction = undefined;
        answers.ok();
        return;
      }
      requests.submitInTransaction({
        work,
        transaction,
        onFinished: ({ outcome, answer }) => {
          const isClean = outcome.status === 'done' && answer?.final.type === 'ok';
          end(isClean);
          requests.observe('done');
          // A connection that broke has rolled back as well.
          answers.ok();
        },
      });
    },
    onLost: (transactionId) => {
      if (transaction?.id === transactionId) transaction.status = 'discarded';
    },
    abandon: () => end(false),
  };
}

/** Whether nothing of the transaction remains after a statement of it. */
function isRolledBack({ outcome, answer }: FinishedRequest): boolean {
  if (outcome.status !== 'done') return true;
  const final = answer?.final;
  return final?.type === 'error' && final.error.state.startsWith(ROLLBACK_CLASS);
}

/** A COMMIT that was not run leaves nothing: the connection is closed, and the database rolls back. */
function toCommitOutcome(outcome: Outcome): Outcome {
  if (outcome.status !== 'notRun') return outcome;
  return { status: 'discarded', retryAfterMilliseconds: outcome.retryAfterMilliseconds };
}
