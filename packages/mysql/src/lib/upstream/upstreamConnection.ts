import { createConnection, type ConnectionOptions } from 'mysql2';
import {
  payloadOf,
  type DriverCommand,
  type DriverConnection,
  type DriverPacket,
} from '../driverConnection';
import { commandCode } from '../protocol/constants';
import { toFrames } from '../protocol/frames';
import { createAnswerReader, createPrepareReader, type AnswerReader } from './answerReader';
import { createFrameCollector } from './frameCollector';
import { createPreparedCache } from './preparedCache';
import type {
  AnswerReceiver,
  CompletedAnswer,
  FinalPacket,
  PreparedDescription,
  UpstreamStatement,
} from './upstreamStatement';

/** Where a database listens, and the account to use there. @public */
export interface UpstreamAddress {
  host: string;
  port: number;
  user: string;
  password: string;
}

/** Why a connection could not be opened. @public */
export type ConnectFailure = 'connectionLimit' | 'connectFailed';

/** @public */
export interface UpstreamConnectionOptions {
  address: UpstreamAddress;
  connectTimeoutMilliseconds: number;
  /** Prepared statements that the connection keeps. */
  preparedStatements?: number;
  onOpened: () => void;
  onOpenFailed: (failure: ConnectFailure) => void;
  /** An open connection ended; told once, after `onLost` of a running statement. */
  onClosed: () => void;
}

/** A connection to a database that runs one statement at a time. @public */
export interface UpstreamConnection {
  readonly isOpen: boolean;
  run: (statement: UpstreamStatement, receiver: AnswerReceiver) => void;
  /** Ends transactions, temporary tables and variables; `onReset` is not called if the connection ends. */
  reset: (onReset: () => void) => void;
  /** Stops reading while the answer's receiver is full. */
  pause: () => void;
  resume: () => void;
  /** Ends the connection at once; nothing of a late answer is read. */
  destroy: () => void;
}

/** mysql2 asks for session tracking by itself; what would change the packets is taken out. */
const DRIVER_FLAGS = ['-CLIENT_QUERY_ATTRIBUTES', '-LOCAL_FILES', '-IGNORE_SPACE', '-ODBC'];

const TOO_MANY_CONNECTIONS = 1040;
const DEFAULT_PREPARED_STATEMENTS = 64;
const STATEMENT_ID_AT = 1;
const COMMAND_SEQUENCE = 0;

type State = 'opening' | 'open' | 'closed';

/**
 * Opens a connection to a database.
 *
 * Answers pass through as the frames that the database sent. Only the last packet of an answer is
 * read, since it tells how the statement ended and what the caller is told depends on it.
 *
 * @public
 */
export function createUpstreamConnection(options: UpstreamConnectionOptions): UpstreamConnection {
  const driver = openDriver(options);
  const { stream } = driver;
  const collector = createFrameCollector();
  const prepared = createPreparedCache(options.preparedStatements ?? DEFAULT_PREPARED_STATEMENTS);
  let state: State = 'opening';
  let receiver: AnswerReceiver | undefined;

  const close = (failure: ConnectFailure): void => {
    if (state === 'closed') return;
    const wasOpen = state === 'open';
    state = 'closed';
    stream.destroy();
    const lost = receiver;
    receiver = undefined;
    lost?.onLost();
    if (wasOpen) options.onClosed();
    else options.onOpenFailed(failure);
  };

  driver.once('connect', () => {
    if (state !== 'opening') return;
    state = 'open';
    options.onOpened();
  });
  driver.on('error', (error: { errno?: number }) => {
    close(error.errno === TOO_MANY_CONNECTIONS ? 'connectionLimit' : 'connectFailed');
  });
  // A packet out of order means that the answers have crossed: nothing of this connection can be
  // told apart any more.
  driver.on('warn', () => close('connectFailed'));
  stream.on('close', () => close('connectFailed'));
  // After the driver's own listener, so that each chunk's frames leave together.
  stream.on('data', () => {
    if (!receiver) return;
    const frames = collector.take();
    if (frames.length > 0) receiver.onFrames(frames, driver.sequenceId);
  });

  /** Sends a command and reads its answer; `onDone` gets the final packet. */
  const send = (
    frames: Buffer[],
    reader: AnswerReader,
    isPassedOn: boolean,
    onDone: (answer: CompletedAnswer) => void,
  ): void => {
    const readPacket = (packet: DriverPacket): boolean => {
      const final = readOrClose(reader, packet);
      if (final) {
        onDone({ final, frames: collector.take(), sequence: packet.sequenceId });
        return true;
      }
      if (isPassedOn) collector.add(packet);
      return false;
    };
    const command: DriverCommand = {
      execute: (packet) => {
        if (state === 'closed') return false;
        if (packet) return readPacket(packet);
        stream.write(frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames));
        driver.sequenceId = COMMAND_SEQUENCE + 1;
        return false;
      },
      onResult: () => close('connectFailed'),
    };
    driver.addCommand(command);
  };

  function readOrClose(reader: AnswerReader, packet: DriverPacket): FinalPacket | undefined {
    try {
      return reader.read(payloadOf(packet));
    } catch {
      // Whatever the packet was, the end of this answer cannot be found any more.
      close('connectFailed');
      return undefined;
    }
  }

  const finish = (answer: CompletedAnswer): void => {
    const finished = receiver;
    receiver = undefined;
    finished?.onAnswered(answer);
  };

  const prepare = (sql: string, onPrepared: (answer: CompletedAnswer) => void): void => {
    const payload = Buffer.concat([Buffer.from([commandCode.prepare]), Buffer.from(sql)]);
    send([toFrames(payload, COMMAND_SEQUENCE)], createPrepareReader(), false, (answer) => {
      if (answer.final.type === 'prepared') remember(sql, answer.final.description);
      onPrepared(answer);
    });
  };

  function remember(sql: string, { header }: PreparedDescription): void {
    const dropped = prepared.add(sql, header.readUInt32LE(STATEMENT_ID_AT));
    dropped.forEach((statementId) => stream.write(closeCommand(statementId)));
  }

  const execute = (statementId: number, { payload, longData }: ExecuteStatement): void => {
    const frames = [...longData, payload].map((command) =>
      toFrames(withStatementId(command, statementId), COMMAND_SEQUENCE),
    );
    send(frames, createAnswerReader(), true, finish);
  };

  const runners: RunnersByType = {
    query: ({ payload }) => {
      send([toFrames(payload, COMMAND_SEQUENCE)], createAnswerReader(), true, finish);
    },
    prepare: ({ sql }) => prepare(sql, finish),
    execute: (statement) => {
      const known = prepared.get(statement.sql);
      if (known !== undefined) {
        execute(known, statement);
        return;
      }
      prepare(statement.sql, (answer) => {
        if (answer.final.type !== 'prepared') finish(answer);
        else execute(answer.final.description.header.readUInt32LE(STATEMENT_ID_AT), statement);
      });
    },
  };

  return {
    get isOpen() {
      return state === 'open';
    },
    run: (statement, newReceiver) => {
      if (state !== 'open') {
        newReceiver.onLost();
        return;
      }
      receiver = newReceiver;
      const run = runners[statement.type] as (statement: UpstreamStatement) => void;
      run(statement);
    },
    reset: (onReset) => {
      prepared.clear();
      const frames = [toFrames(Buffer.from([commandCode.resetConnection]), COMMAND_SEQUENCE)];
      send(frames, createAnswerReader(), false, ({ final }) => {
        if (final.type === 'ok') onReset();
        else close('connectFailed');
      });
    },
    pause: () => stream.pause(),
    resume: () => stream.resume(),
    destroy: () => close('connectFailed'),
  };
}

type ExecuteStatement = Extract<UpstreamStatement, { type: 'execute' }>;

type RunnersByType = {
  [Type in UpstreamStatement['type']]: (
    statement: Extract<UpstreamStatement, { type: Type }>,
  ) => void;
};

function openDriver(options: UpstreamConnectionOptions): DriverConnection {
  const { address, connectTimeoutMilliseconds } = options;
  const connectionOptions: ConnectionOptions = {
    ...address,
    charset: 'UTF8MB4_GENERAL_CI',
    connectTimeout: connectTimeoutMilliseconds,
    flags: DRIVER_FLAGS,
    // This module keeps prepared statements itself; the driver's own cache would take half a megabyte.
    maxPreparedStatements: 1,
  };
  return createConnection(connectionOptions) as unknown as DriverConnection;
}

function withStatementId(command: Buffer, statementId: number): Buffer {
  const copy = Buffer.from(command);
  copy.writeUInt32LE(statementId, STATEMENT_ID_AT);
  return copy;
}

function closeCommand(statementId: number): Buffer {
  const payload = Buffer.alloc(5);
  payload.writeUInt8(commandCode.closeStatement, 0);
  payload.writeUInt32LE(statementId, STATEMENT_ID_AT);
  return toFrames(payload, COMMAND_SEQUENCE);
}
