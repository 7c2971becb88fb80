import type { OkPacket } from '../protocol/okPacket';
import type { SqlError } from '../protocol/errorPacket';

/** A statement for one connection to a database. @public */
export type UpstreamStatement =
  /** `payload` is the whole command, its code included. */
  | { type: 'query'; payload: Buffer }
  | { type: 'prepare'; sql: string }
  /** `payload` is the execute command; the statement's id in it is replaced by the connection's own. */
  | { type: 'execute'; sql: string; payload: Buffer; longData: Buffer[] };

/** The last packet of an answer, which tells how the statement ended. @public */
export type FinalPacket =
  | { type: 'ok'; ok: OkPacket }
  /** The end of the rows. */
  | { type: 'eof'; payload: Buffer }
  | { type: 'error'; error: SqlError }
  | { type: 'prepared'; description: PreparedDescription };

/** A database's answer to a prepared statement. @public */
export interface PreparedDescription {
  /** Payload of the first packet; bytes 1 to 4 are the statement's id at the database. */
  header: Buffer;
  /** Frames of the definitions that follow, numbered from 2. */
  definitions: Buffer;
}

/** Takes an answer as it comes. @public */
export interface AnswerReceiver {
  /**
   * Frames of an answer that goes on, to be passed on as they are.
   *
   * @param nextSequence - number of the packet that follows them.
   */
  onFrames: (frames: Buffer[], nextSequence: number) => void;
  /** The answer is whole; the connection takes the next statement. */
  onAnswered: (answer: CompletedAnswer) => void;
  /** The connection ended before the answer did. */
  onLost: () => void;
}

/** @public */
export interface CompletedAnswer {
  final: FinalPacket;
  /** Frames before the final packet that `onFrames` has not had. */
  frames: Buffer[];
  /** Number of the final packet within the answer. */
  sequence: number;
}
