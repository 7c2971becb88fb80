import type { OkPacket } from '../protocol/okPacket';
import type { SqlError } from '../protocol/errorPacket';
import type { SqlBytes } from '../protocol/sqlBytes';

/** A statement to run on a database connection. @public */
export type UpstreamStatement =
  /** `payload` is the whole command, including the command code. */
  | { type: 'query'; payload: Buffer }
  | { type: 'prepare'; sqlBytes: SqlBytes }
  /** The statement id in `payload` is replaced by the id on the connection. */
  | { type: 'execute'; sqlBytes: SqlBytes; payload: Buffer; longData: Buffer[] };

/** The final packet of a response, with the statement's outcome. @public */
export type FinalPacket =
  | { type: 'ok'; ok: OkPacket }
  /** Ends a result set. */
  | { type: 'eof'; payload: Buffer }
  | { type: 'error'; error: SqlError }
  | { type: 'prepared'; description: PreparedDescription };

/** A database's response to a prepare command. @public */
export interface PreparedDescription {
  /** Payload of the first packet; bytes 1 to 4 are the database's statement id. */
  header: Buffer;
  /** Frames of the definitions, with the sequence numbers of the database. */
  definitions: Buffer;
}

/** Receives the response to a statement. @public */
export interface ResponseReceiver {
  /**
   * Called with frames to forward unchanged while the response is incomplete.
   *
   * @param nextSequence - sequence number of the next packet.
   */
  onFrames: (frames: Buffer[], nextSequence: number) => void;
  /** The response is complete; the connection accepts the next statement. */
  onAnswered: (response: CompletedAnswer) => void;
  /**
   * The connection closed before the response was complete, or was not open when the statement was
   * run.
   */
  onLost: () => void;
}

/** @public */
export interface CompletedAnswer {
  final: FinalPacket;
  /** Frames before the final packet that were not passed to `onFrames`. */
  frames: Buffer[];
  /** Sequence number of the final packet. */
  sequence: number;
}
