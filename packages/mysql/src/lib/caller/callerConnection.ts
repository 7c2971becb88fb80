import { getPayload, type DriverConnection, type DriverPacket } from '../driverConnection';
import { serverStatus } from '../protocol/constants';
import { encodeError, type SqlError } from '../protocol/errorPacket';
import { toFrames } from '../protocol/frames';
import { EMPTY_OK, encodeOk, type OkPacket } from '../protocol/okPacket';
import { encodeTextResult, type TextResult } from '../protocol/textResult';
import {
  MalformedPacketError,
  parseCommand,
  commandsWithoutResponse,
  type CallerCommand,
} from './callerCommand';

/** An authenticated caller connection that processes one command at a time. @public */
export interface CallerConnection {
  readonly id: number;
  /** Whether the write buffer is full; `onDrain` is called once it has been flushed. */
  readonly isFull: boolean;
  /** Sequence number of the first packet of the current command's response. */
  readonly firstSequence: number;
  /** Registers the handlers and dispatches the commands received so far. */
  start: (handlers: CallerHandlers) => void;
  /** Sends part of the current command's response; the frames include their headers. */
  writeFrames: (frames: Buffer[]) => void;
  /** Sends the last part of the response and dispatches the next command. */
  finish: (frames: Buffer[]) => void;
  /**
   * Finishes the response with an OK packet.
   *
   * @param sequence - sequence number of the packet; by default, that of the first of the response.
   */
  finishOk: (response: OkResponse, sequence?: number) => void;
  finishError: (error: SqlError, sequence?: number) => void;
  finishResult: (result: TextResult, status?: number) => void;
  /** Closes the connection after sending pending data and the error, if any. */
  end: (error?: SqlError) => void;
  destroy: () => void;
}

/** @public */
export interface OkResponse {
  ok?: OkPacket;
  /** Session token, sent to callers that support session tracking. */
  token?: string | undefined;
}

/** @public */
export interface CallerHandlers {
  onCommand: (command: CallerCommand) => void;
  /** The write buffer is no longer full; see {@link CallerConnection.isFull}. */
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

/** Sequence number of the first packet of a response to a command of one frame, which has 0. */
const FIRST_RESPONSE_SEQUENCE = 1;

/** Queue length at which reading from the socket is paused. */
const MAXIMUM_QUEUED_COMMANDS = 16;

/** Frames up to this total size are concatenated, since a copy costs less than a write call. */
const MAXIMUM_JOINED_BYTES = 16_384;

/** Time for which received data is discarded once all was sent; then the socket is destroyed. */
const LINGER_MILLISECONDS = 1_000;

/** Time without progress after which a caller that does not read the rest is given up. */
const STALL_MILLISECONDS = 10_000;

/**
 * Creates a caller connection from a driver connection whose handshake is complete.
 *
 * @internal
 */
export function createCallerConnection(options: CallerConnectionOptions): CallerConnection {
  const { id, driver, canTrackSession } = options;
  const socket = driver.stream;
  const commandQueue: { command: CallerCommand; frameCount: number }[] = [];
  let handlers: CallerHandlers | undefined;
  let isBusy = false;
  let firstSequence = FIRST_RESPONSE_SEQUENCE;

  const closeOnMalformedPacket = (): void =>
    closeGracefully(driver, MALFORMED_PACKET, FIRST_RESPONSE_SEQUENCE);

  const dispatchCommands = (): void => {
    while (handlers && !isBusy && !socket.destroyed) {
      const next = commandQueue.shift();
      if (!next) return;
      const { command, frameCount } = next;
      firstSequence = frameCount;
      if (socket.isPaused() && commandQueue.length < MAXIMUM_QUEUED_COMMANDS) socket.resume();
      isBusy = !commandsWithoutResponse.has(command.type);
      handlers.onCommand(command);
    }
  };

  const onPacket = (packet?: DriverPacket): void => {
    if (!packet) return;
    // Every command starts at sequence number 0. Any other number means that packet boundaries
    // are out of step, and payload bytes could be parsed as a command.
    if (packet.sequenceId !== 0) {
      closeOnMalformedPacket();
      return;
    }
    try {
      const command = parseCommand(getPayload(packet));
      commandQueue.push({ command, frameCount: packet.numPackets });
    } catch (error) {
      if (!(error instanceof MalformedPacketError)) throw error;
      closeOnMalformedPacket();
      return;
    }
    if (commandQueue.length >= MAXIMUM_QUEUED_COMMANDS) socket.pause();
    dispatchCommands();
  };

  const write = (frames: Buffer[]): void => {
    const bytes = frames.reduce((sum, frame) => sum + frame.length, 0);
    if (bytes <= MAXIMUM_JOINED_BYTES) {
      socket.write(frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames));
      return;
    }
    socket.cork();
    frames.forEach((frame) => socket.write(frame));
    socket.uncork();
  };

  const connection: CallerConnection = {
    id,
    get firstSequence() {
      return firstSequence;
    },
    get isFull() {
      return socket.writableNeedDrain;
    },
    start: (newHandlers) => {
      handlers = newHandlers;
      socket.on('drain', newHandlers.onDrain);
      socket.once('close', newHandlers.onClosed);
      if (socket.destroyed) newHandlers.onClosed();
      dispatchCommands();
    },
    writeFrames: (frames) => {
      if (!socket.destroyed && frames.length > 0) write(frames);
    },
    finish: (frames) => {
      connection.writeFrames(frames);
      isBusy = false;
      dispatchCommands();
    },
    finishOk: ({ ok = EMPTY_OK, token }, sequence = firstSequence) => {
      connection.finish([toFrames(encodeOk({ ok, canTrackSession, token }), sequence)]);
    },
    finishError: (error, sequence = firstSequence) => {
      connection.finish([toFrames(encodeError(error), sequence)]);
    },
    finishResult: (result, status = serverStatus.autocommit) => {
      const payloads = encodeTextResult(result, status);
      connection.finish(payloads.map((payload, index) => toFrames(payload, firstSequence + index)));
    },
    end: (error) => {
      closeGracefully(driver, error, firstSequence);
    },
    destroy: () => {
      socket.destroy();
    },
  };

  driver.handlePacket = onPacket;
  return connection;
}

/**
 * Sends the error, if any, and closes the connection.
 *
 * Closing a socket with unread bytes resets it, and what was sent last could be lost. Received data is
 * therefore read and discarded for a while, which begins once a slow caller has been sent everything.
 *
 * @internal
 */
export function closeGracefully(
  driver: DriverConnection,
  error: SqlError | undefined,
  sequence: number,
): void {
  const socket = driver.stream;
  if (socket.destroyed) return;
  Object.assign(driver, { handlePacket: () => {}, packetParser: { execute: () => {} } });
  if (error) socket.write(toFrames(encodeError(error), sequence));
  socket.end(() => {
    setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
  });
  socket.resume();
  destroyWhenStalled(socket);
}

/** Destroys an ended socket whose peer takes no more of what is left to send. */
function destroyWhenStalled(socket: DriverConnection['stream']): void {
  let unsent = socket.writableLength;
  const timer = setInterval(() => {
    if (socket.writableLength === unsent) socket.destroy();
    unsent = socket.writableLength;
  }, STALL_MILLISECONDS).unref();
  socket.once('close', () => clearInterval(timer));
}
