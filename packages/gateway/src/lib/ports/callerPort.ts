import type { CallerStatement, FailureReason, TransactionState } from '@wisterialift/pooling';

/** Answer to one statement; `signature` is the one returned by the member that ran it. @public */
export type CallerAnswer = { transaction: TransactionState } & (
  | { outcome: 'completed'; rows: string[]; signature?: string }
  | { outcome: 'refused'; reason: FailureReason; detail: string }
);

/** Sends responses of one session over the caller's protocol. @public */
export interface CallerLink {
  accept: () => void;
  refuse: (reason: FailureReason, detail: string) => void;
  answer: (answer: CallerAnswer) => void;
  /** Closes the session once all answers have been sent. */
  close: () => void;
  /** Whether parts of answers have not been handed to the network yet, because the caller reads slowly. */
  hasUnsentData: () => boolean;
}

/** Protocol events of a session. @public */
export interface CallerEvents {
  /** @param keyDigest - digest of the key that identifies the caller, if it presented one. */
  onStart: (database: string, keyDigest?: string) => void;
  onStatement: (statement: CallerStatement) => void;
  onDisconnect: () => void;
}

/** Accepts a new caller connection and returns its event handlers. @public */
export type CallerAcceptor = (link: CallerLink) => CallerEvents;
