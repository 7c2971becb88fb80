import type { CallerPort } from '../callerMessages';
import type { Lease } from './upstreamPool';

/** A transaction that a database has open, with the connection that it keeps until its end. @internal */
export interface OpenTransaction {
  lease: Lease;
  caller: CallerPort;
  /** Whether a statement runs on the connection now. */
  isRunning: boolean;
  usedAt: number;
}

/** The open transactions of a group. @internal */
export interface TransactionTable {
  add: (transactionId: string, lease: Lease, caller: CallerPort) => void;
  get: (transactionId: string | undefined) => OpenTransaction | undefined;
  setRunning: (transactionId: string | undefined, isRunning: boolean) => void;
  /**
   * Ends a transaction.
   *
   * @param isClean - whether the database has ended it, so that the connection can be reset and used
   * again. Otherwise the connection is closed, and the database rolls back what is open.
   */
  end: (transactionId: string | undefined, isClean: boolean) => void;
  /** The connection was reset. */
  onReset: (lease: Lease) => void;
  onLeaseClosed: (lease: Lease) => void;
  /** Ends the transactions that no statement has come for in a while. */
  endIdle: () => void;
  size: () => number;
}

/** @internal */
export interface TransactionTableOptions {
  clock: () => number;
  release: (lease: Lease) => void;
  /** The reset of a connection has ended; `onReset` is to be called with it. */
  onResetAnswered: (lease: Lease) => void;
  /** The transaction's connection is free or closed. */
  onFinished: (transactionId: string) => void;
}

/** A caller that forgets a transaction would keep one of the database's few connections for good. */
const LONGEST_IDLE_MILLISECONDS = 60_000;

/** Creates the table of a group's open transactions. @internal */
export function createTransactionTable(options: TransactionTableOptions): TransactionTable {
  const { clock, release, onResetAnswered, onFinished } = options;
  const transactions = new Map<string, OpenTransaction>();
  /** Ids of ended transactions whose connection is being reset. */
  const resets = new Map<Lease, string>();

  const end = (transactionId: string | undefined, isClean: boolean): void => {
    const transaction = transactions.get(transactionId ?? '');
    if (transactionId === undefined || !transaction) return;
    transactions.delete(transactionId);
    const { lease } = transaction;
    if (isClean && lease.connection.isOpen) {
      resets.set(lease, transactionId);
      lease.connection.reset(() => onResetAnswered(lease));
      return;
    }
    lease.connection.destroy();
    onFinished(transactionId);
  };

  const lose = (transactionId: string, { caller }: OpenTransaction): void => {
    end(transactionId, false);
    caller.post({ type: 'transactionLost', transactionId });
  };

  /** Takes out the id of a transaction whose connection was being reset. */
  const takeReset = (lease: Lease): string | undefined => {
    const transactionId = resets.get(lease);
    resets.delete(lease);
    return transactionId;
  };

  return {
    add: (transactionId, lease, caller) => {
      transactions.set(transactionId, { lease, caller, isRunning: false, usedAt: clock() });
    },
    get: (transactionId) => transactions.get(transactionId ?? ''),
    setRunning: (transactionId, isRunning) => {
      const transaction = transactions.get(transactionId ?? '');
      if (transaction) Object.assign(transaction, { isRunning, usedAt: clock() });
    },
    end,
    onReset: (lease) => {
      const transactionId = takeReset(lease);
      if (transactionId === undefined) return;
      release(lease);
      onFinished(transactionId);
    },
    onLeaseClosed: (lease) => {
      const transactionId = takeReset(lease);
      if (transactionId !== undefined) onFinished(transactionId);
      transactions.forEach((transaction, id) => {
        // A statement on the connection has its own message of the loss.
        if (transaction.lease === lease && !transaction.isRunning) lose(id, transaction);
      });
    },
    endIdle: () => {
      const usedBefore = clock() - LONGEST_IDLE_MILLISECONDS;
      transactions.forEach((transaction, id) => {
        if (!transaction.isRunning && transaction.usedAt < usedBefore) lose(id, transaction);
      });
    },
    size: () => transactions.size,
  };
}
