import type { CompletedAnswer } from '@wisterialift/mysql';
import type { RequestOutcome } from '@wisterialift/schema';
import type { Mailbox } from './mailbox';

/** A message to the task of a caller connection. @internal */
export type CallerMessage =
  /** Packets of an answer that is not complete yet. */
  | { type: 'answerContinued'; requestId: string; frames: Buffer[]; nextSequence: number }
  /** The request has ended; `answer` is set only if the outcome's status is `done`. */
  | {
      type: 'requestAnswered';
      requestId: string;
      outcome: RequestOutcome;
      answer?: CompletedAnswer;
    }
  /**
   * An open transaction was ended while no statement of it ran: its upstream connection closed, or it
   * was idle for too long.
   */
  | { type: 'transactionLost'; transactionId: string };

/** @internal */
export type CallerMailbox = Mailbox<CallerMessage>;
