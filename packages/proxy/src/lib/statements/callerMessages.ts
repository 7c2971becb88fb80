import type { CompletedAnswer } from '@wisterialift/mysql';
import type { Outcome } from '@wisterialift/schema';
import type { Mailbox } from './mailbox';

/** What a caller task is told about its statements. @internal */
export type CallerMessage =
  /** A part of the answer that goes on. */
  | { type: 'answerContinued'; requestId: string; frames: Buffer[]; nextSequence: number }
  /** The final answer; `answer` comes with `done` alone. */
  | { type: 'requestAnswered'; requestId: string; outcome: Outcome; answer?: CompletedAnswer }
  /** The connection of an open transaction broke between two statements. */
  | { type: 'transactionLost'; transactionId: string };

/** @internal */
export type CallerPort = Mailbox<CallerMessage>;
