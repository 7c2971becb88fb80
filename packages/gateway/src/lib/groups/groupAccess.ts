import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { AskedAt } from './groupContext';
import type { StatementRequest } from './statementRequest';

/** Runs statements on a group, through connections of this instance or of another one. */
export interface GroupAccess {
  /** Runs a read outside of a transaction. */
  read: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Runs a write outside of a transaction. */
  write: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Begins a transaction for its first statement. */
  openTransaction: (
    request: StatementRequest,
    options: OpenOptions,
  ) => Promise<{ transaction: Transaction } | { refusal: UpstreamAnswer }>;
  /** Returns the sequence number and time of a statement that arrives now. */
  markArrival: () => AskedAt;
}

export interface OpenOptions {
  isReadOnly: boolean;
  /** When the caller began the transaction; its reads must be at least this current. */
  began: AskedAt;
}

/** A transaction on one connection to one member. */
export interface Transaction {
  run: (request: StatementRequest) => Promise<UpstreamAnswer>;
  commit: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Rolls the transaction back and returns its connection to the pool. */
  rollBack: () => void;
}
