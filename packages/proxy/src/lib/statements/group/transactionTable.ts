import type { CallerMailbox } from '../callerMessages';
import type { Lease } from './upstreamPool';

/** A transaction that is open at a database, with the connection that it holds. @internal */
export interface OpenTransaction {
  lease: Lease;
  caller: CallerMailbox;
  /** Whether a statement of the transaction is running. */
  isRunning: boolean;
  lastUsedAt: number;
}

/** The open transactions of a group. @internal */
export interface TransactionTable {
  add: (transactionId: string, lease: Lease, caller: CallerMailbox) => void;
  get: (transactionId: string | undefined) => OpenTransaction | undefined;
  setRunning: (transactionId: string | undefined, isRunning: boolean) => void;
  /**
   * Ends a transaction.
   *
   * @param isClean - whether the database has ended it, so that the connection can be reset and
   * reused. Otherwise the connection is closed, and the database rolls back.
   */
  end: (transactionId: string | undefined, isClean: boolean) => void;
  /** Call after the connection has been reset. */
  onLeaseReset: (lease: Lease) => void;
  onLeaseClosed: (lease: Lease) => void;
  /** Rolls back transactions that have been idle for too long and notifies their callers. */
  endIdle: () => void;
  getSize: () => number;
}

/** @internal */
export interface TransactionTableOptions {
  clock: () => number;
  release: (lease: Lease) => void;
  /** Called when a connection has been reset; must lead to a call of `onLeaseReset`. */
  onResetAnswered: (lease: Lease) => void;
  /** Called when the transaction's connection has been released or closed. */
  onFinished: (transactionId: string) => void;
}

/** An abandoned transaction would otherwise hold its upstream connection forever. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000;

/** @internal */
export function createTransactionTable(options: TransactionTableOptions): TransactionTable {
  const { clock, release, onResetAnswered, onFinished } = options;
  const transactions = new Map<string, OpenTransaction>();
  /** Ended transactions whose connection is being reset. */
  const pendingResets = new Map<Lease, string>();

  const end = (transactionId: string | undefined, isClean: boolean): void => {
    const transaction = transactions.get(transactionId ?? '');
    if (transactionId === undefined || !transaction) return;
    transactions.delete(transactionId);
    const { lease } = transaction;
    if (isClean && lease.connection.isOpen) {
      pendingResets.set(lease, transactionId);
      lease.connection.reset(() => onResetAnswered(lease));
      return;
    }
    lease.connection.destroy();
    onFinished(transactionId);
  };

  const abort = (transactionId: string, { caller }: OpenTransaction): void => {
    end(transactionId, false);
    caller.post({ type: 'transactionLost', transactionId });
  };

  /** @returns the transaction for which the connection was being reset, if any. */
  const removePendingReset = (lease: Lease): string | undefined => {
    const transactionId = pendingResets.get(lease);
    pendingResets.delete(lease);
    return transactionId;
  };

  return {
    add: (transactionId, lease, caller) => {
      transactions.set(transactionId, { lease, caller, isRunning: false, lastUsedAt: clock() });
    },
    get: (transactionId) => transactions.get(transactionId ?? ''),
    setRunning: (transactionId, isRunning) => {
      const transaction = transactions.get(transactionId ?? '');
      if (transaction) Object.assign(transaction, { isRunning, lastUsedAt: clock() });
    },
    end,
    onLeaseReset: (lease) => {
      const transactionId = removePendingReset(lease);
      if (transactionId === undefined) return;
      release(lease);
      onFinished(transactionId);
    },
    onLeaseClosed: (lease) => {
      const transactionId = removePendingReset(lease);
      if (transactionId !== undefined) onFinished(transactionId);
      transactions.forEach((transaction, id) => {
        // A running statement reports the loss itself.
        if (transaction.lease === lease && !transaction.isRunning) abort(id, transaction);
      });
    },
    endIdle: () => {
      const usedBefore = clock() - IDLE_TIMEOUT_MILLISECONDS;
      transactions.forEach((transaction, id) => {
        if (!transaction.isRunning && transaction.lastUsedAt < usedBefore) abort(id, transaction);
      });
    },
    getSize: () => transactions.size,
  };
}
