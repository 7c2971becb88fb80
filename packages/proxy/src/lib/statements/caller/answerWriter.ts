import {
  EMPTY_OK,
  serverStatus,
  withFlag,
  type CallerConnection,
  type OkPacket,
  type SqlError,
  type TextResult,
} from '@wisterialift/mysql';

/** Sends the final part of the answer to each of a caller's commands. @internal */
export interface AnswerWriter {
  sendFrames: (frames: Buffer[]) => void;
  /** @param token - session token, sent with the answer to a write. */
  sendOk: (ok?: OkPacket, sequence?: number, token?: string) => void;
  sendError: (error: SqlError, sequence?: number) => void;
  sendRows: (result: TextResult) => void;
}

/** @internal */
export interface AnswerWriterOptions {
  connection: CallerConnection;
  isInTransaction: () => boolean;
  /** Called after an answer has been sent. */
  onAnswered: () => void;
}

/** @internal */
export function createAnswerWriter(options: AnswerWriterOptions): AnswerWriter {
  const { connection, isInTransaction, onAnswered } = options;

  const createOk = (): OkPacket => ({
    ...EMPTY_OK,
    status: withFlag(EMPTY_OK.status, serverStatus.inTransaction, isInTransaction()),
  });

  return {
    sendFrames: (frames) => {
      connection.finish(frames);
      onAnswered();
    },
    sendOk: (ok = createOk(), sequence = connection.firstSequence, token = undefined) => {
      connection.finishOk({ ok, token }, sequence);
      onAnswered();
    },
    sendError: (error, sequence = connection.firstSequence) => {
      connection.finishError(error, sequence);
      onAnswered();
    },
    sendRows: (result) => {
      connection.finishResult(result, createOk().status);
      onAnswered();
    },
  };
}
