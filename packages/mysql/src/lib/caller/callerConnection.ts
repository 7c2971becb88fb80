import { payloadOf, type DriverConnection, type DriverPacket } from '../driverConnection';
import { serverStatus } from '../protocol/constants';
import { encodeError, type SqlError } from '../protocol/errorPacket';
import { toFrames } from '../protocol/frames';
import { EMPTY_OK, encodeOk, type OkPacket } from '../protocol/okPacket';
import { encodeTextResult, type TextResult } from '../protocol/textResult';
import {
  MalformedPacketError,
  readCommand,
  silentCommands,
  type CallerCommand,
} from './callerCommand';

/** An authenticated connection of a caller: commands come in one at a time, answers go out. @public */
export interface CallerConnection {
  readonly id: number;
  /** Whether the bytes written so far still wait for the caller to read. */
  readonly isFull: boolean;
  /** Takes the handlers and starts with the commands that have come so far. */
  start: (handlers: CallerHandlers) => void;
  /** Sends a part of the present command's answer, framed and numbered already. */
  writeFrames: (frames: Buffer[]) => void;
  /** Sends the last part of the answer; the next command follows. */
  finish: (frames: Buffer[]) => void;
  /** @param sequence - number of the packet within the answer. */
  finishOk: (answer: OkAnswer, sequence?: number) => void;
  finishError: (error: SqlError, sequence?: number) => void;
  finishResult: (result: TextResult, status?: number) => void;
  /** Closes once what was written has been sent. */
  end: (error?: SqlError) => void;
  destroy: () => void;
}

/** @public */
export interface OkAnswer {
  ok?: OkPacket;
  token?: string | undefined;
}

/** @public */
export interface CallerHandlers {
  onCommand: (command: CallerCommand) => void;
  /** The caller has read what `isFull` spoke of. */
  onDrain: () => void;
  onClosed: () => void;
}

/** @internal */
export interface CallerConnectionOptions {
  id: number;
  driver: DriverConnection;
  canTrackSession: boolean;
}

const MALFORMED_PACKET: SqlError = {
  code: 1835,
  state: 'HY000',
  message: 'Malformed communication packet.',
};

/** Number of the first packet of an answer; the command itself has 0. */
const FIRST_ANSWER = 1;

/** Commands that wait before the connection is no longer read from. */
const LONGEST_QUEUE = 16;

/** Up to this size, frames are joined: one write call costs more than the copy. */
const JOINED_BYTES = 16_384;

/** Time for an error to reach a caller that still sends, in milliseconds. */
const LINGER_MILLISECONDS = 1_000;

/**
 * Creates the connection of a caller on a driver connection whose handshake is done.
 *
 * @internal
 */
export function createCallerConnection(options: CallerConnectionOptions): CallerConnection {
  const { id, driver, canTrackSession } = options;
  const socket = driver.stream;
  const waiting: CallerCommand[] = [];
  let handlers: CallerHandlers | undefined;
  let isBusy = false;

  const closeAsMalformed = (): void => endConnection(driver, MALFORMED_PACKET, FIRST_ANSWER);

  const dispatch = (): void => {
    while (handlers && !isBusy && !socket.destroyed) {
      const command = waiting.shift();
      if (!command) return;
      if (socket.isPaused() && waiting.length < LONGEST_QUEUE) socket.resume();
      isBusy = !silentCommands.has(command.type);
      handlers.onCommand(command);
    }
  };

  const onPacket = (packet?: DriverPacket): void => {
    if (!packet) return;
    // A command starts a new numbering; another number means that the two sides disagree on where
    // packets begin, and what follows would be read as something that the caller never said.
    if (packet.sequenceId !== 0) {
      closeAsMalformed();
      return;
    }
    try {
      waiting.push(readCommand(payloadOf(packet)));
    } catch (error) {
      if (!(error instanceof MalformedPacketError)) throw error;
      closeAsMalformed();
      return;
    }
    if (waiting.length >= LONGEST_QUEUE) socket.pause();
    dispatch();
  };

  const write = (frames: Buffer[]): void => {
    const bytes = frames.reduce((sum, frame) => sum + frame.length, 0);
    if (bytes <= JOINED_BYTES) {
      socket.write(frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames));
      return;
    }
    socket.cork();
    frames.forEach((frame) => socket.write(frame));
    socket.uncork();
  };

  const connection: CallerConnection = {
    id,
    get isFull() {
      return socket.writableNeedDrain;
    },
    start: (newHandlers) => {
      handlers = newHandlers;
      socket.on('drain', newHandlers.onDrain);
      socket.once('close', newHandlers.onClosed);
      if (socket.destroyed) newHandlers.onClosed();
      dispatch();
    },
    writeFrames: (frames) => {
      if (!socket.destroyed && frames.length > 0) write(frames);
    },
    finish: (frames) => {
      connection.writeFrames(frames);
      isBusy = false;
      dispatch();
    },
    finishOk: ({ ok = EMPTY_OK, token }, sequence = FIRST_ANSWER) => {
      connection.finish([toFrames(encodeOk({ ok, canTrackSession, token }), sequence)]);
    },
    finishError: (error, sequence = FIRST_ANSWER) => {
      connection.finish([toFrames(encodeError(error), sequence)]);
    },
    finishResult: (result, status = serverStatus.autocommit) => {
      const payloads = encodeTextResult(result, status);
      connection.finish(payloads.map((payload, index) => toFrames(payload, FIRST_ANSWER + index)));
    },
    end: (error) => {
      endConnection(driver, error, FIRST_ANSWER);
    },
    destroy: () => {
      socket.destroy();
    },
  };

  driver.handlePacket = onPacket;
  return connection;
}

/**
 * Sends an error, if any, and closes.
 *
 * A close with unread bytes resets the connection, and a reset can overtake the error on its way. So
 * what still comes is read and dropped for a moment.
 *
 * @internal
 */
export function endConnection(
  driver: DriverConnection,
  error: SqlError | undefined,
  sequence: number,
): void {
  const socket = driver.stream;
  if (socket.destroyed) return;
  Object.assign(driver, { handlePacket: () => {}, packetParser: { execute: () => {} } });
  if (error) socket.write(toFrames(encodeError(error), sequence));
  socket.end();
  socket.resume();
  setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
}
