import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { SequencedTime } from './groupContext';
import type { StatementRequest } from './statementRequest';

/** Runs statements on a group, through connections of this instance or of another one. */
export interface StatementRunner {
  /** Runs a read outside of a transaction. */
  read: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Runs a write outside of a transaction. */
  write: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Begins a transaction for its first statement. */
  openTransaction: (
    request: StatementRequest,
    options: OpenTransactionOptions,
  ) => Promise<{ transaction: Transaction } | { refusal: UpstreamAnswer }>;
  /** Returns the sequence number and time of a statement that arrives now. */
  createArrivalStamp: () => SequencedTime;
}

export interface OpenTransactionOptions {
  isReadOnly: boolean;
  /** When the caller began the transaction; its reads must be at least this current. */
  beginStamp: SequencedTime;
}

/** A transaction on one connection to one member. */
export interface Transaction {
  run: (request: StatementRequest) => Promise<UpstreamAnswer>;
  commit: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Rolls the transaction back and returns its connection to the pool. */
  rollBack: () => void;
}
