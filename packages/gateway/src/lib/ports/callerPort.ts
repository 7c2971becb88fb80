import type { CallerStatement, FailureReason, TransactionState } from '@wisterialift/pooling';

/** Answer to one statement of a caller; `signature` proves which database ran it. @public */
export type CallerAnswer = { transaction: TransactionState } & (
  | { outcome: 'completed'; rows: string[]; signature?: string }
  | { outcome: 'refused'; reason: FailureReason; detail: string }
);

/** One session of a caller, as its protocol sees it. @public */
export interface CallerLink {
  accept: () => void;
  refuse: (reason: FailureReason, detail: string) => void;
  answer: (answer: CallerAnswer) => void;
  /** Ends the session after what was answered has been sent. */
  end: () => void;
}

/** What the protocol tells of a session. @public */
export interface CallerEvents {
  onStart: (database: string) => void;
  onStatement: (statement: CallerStatement) => void;
  onLeave: () => void;
}

/** Called for each new connection of a caller. @public */
export type CallerAcceptor = (link: CallerLink) => CallerEvents;
