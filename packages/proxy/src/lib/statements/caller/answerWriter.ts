import {
  EMPTY_OK,
  serverStatus,
  withFlag,
  type CallerConnection,
  type OkPacket,
  type SqlError,
  type TextResult,
} from '@wisterialift/mysql';

/** Number of the first packet of an answer. @internal */
export const FIRST_SEQUENCE = 1;

/** Sends the answers to a caller's commands, one for each. @internal */
export interface AnswerWriter {
  frames: (frames: Buffer[]) => void;
  /** @param token - session token, given with the answer to a write. */
  ok: (ok?: OkPacket, sequence?: number, token?: string) => void;
  error: (error: SqlError, sequence?: number) => void;
  rows: (result: TextResult) => void;
}

/** @internal */
export interface AnswerWriterOptions {
  connection: CallerConnection;
  isInTransaction: () => boolean;
  /** The answer was sent and no command is being worked on. */
  onAnswered: () => void;
}

/** Creates the writer of a connection's answers. @internal */
export function createAnswerWriter(options: AnswerWriterOptions): AnswerWriter {
  const { connection, isInTransaction, onAnswered } = options;

  const ownOk = (): OkPacket => ({
    ...EMPTY_OK,
    status: withFlag(EMPTY_OK.status, serverStatus.inTransaction, isInTransaction()),
  });

  return {
    frames: (frames) => {
      connection.finish(frames);
      onAnswered();
    },
    ok: (ok = ownOk(), sequence = FIRST_SEQUENCE, token = undefined) => {
      connection.finishOk({ ok, token }, sequence);
      onAnswered();
    },
    error: (error, sequence = FIRST_SEQUENCE) => {
      connection.finishError(error, sequence);
      onAnswered();
    },
    rows: (result) => {
      connection.finishResult(result, ownOk().status);
      onAnswered();
    },
  };
}
