import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { AskedAt } from './groupContext';
import type { StatementRequest } from './statementRequest';

/** Serves the statements of a group's callers, over this instance's connections or another's. */
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
  markArrival: () => AskedAt;
}

export interface OpenOptions {
  isReadOnly: boolean;
  /** When the caller began it; what it reads must not be older. */
  began: AskedAt;
}

/** A caller's transaction on one connection of one member. */
export interface Transaction {
  run: (request: StatementRequest) => Promise<UpstreamAnswer>;
  commit: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /** Ends it without keeping anything; the connection is back in the pool afterwards. */
  rollBack: () => void;
}
