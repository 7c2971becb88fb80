import { createConnection, type ConnectionOptions } from 'mysql2';
import {
  getPayload,
  type DriverCommand,
  type DriverConnection,
  type DriverPacket,
} from '../driverConnection';
import { commandCode } from '../protocol/constants';
import { countFrames, toFrames } from '../protocol/frames';
import { encodeQuery } from '../protocol/query';
import { readSingleValue } from '../protocol/singleValue';
import { encodeSqlCommand, type SqlBytes } from '../protocol/sqlBytes';
import {
  createResponseReader,
  createPrepareResponseReader,
  type ResponseReader,
} from './responseReader';
import { createFrameCollector } from './frameCollector';
import { createPreparedStatementCache } from './preparedStatementCache';
import type {
  ResponseReceiver,
  CompletedAnswer,
  FinalPacket,
  PreparedDescription,
  UpstreamStatement,
} from './upstreamStatement';

/** Address and credentials of a database. @public */
export interface UpstreamAddress {
  host: string;
  port: number;
  user: string;
  password: string;
}

/** Reason why a connection could not be opened. @public */
export type ConnectFailure = 'connectionLimit' | 'connectFailed';

/** @public */
export interface UpstreamConnectionOptions {
  address: UpstreamAddress;
  connectTimeoutMilliseconds: number;
  /** Size of the connection's cache of prepared statements. */
  maximumPreparedStatements?: number;
  onOpened: () => void;
  onOpenFailed: (failure: ConnectFailure) => void;
  /** Called once when an open connection closes, after `onLost` of a running statement. */
  onClosed: () => void;
}

/** A database connection that runs one statement at a time. @public */
export interface UpstreamConnection {
  readonly isOpen: boolean;
  /** The `server_uuid` of the database that it reached; empty until it is open. */
  readonly incarnation: string;
  /** Runs a statement; calls `onLost` at once if the connection is not open. */
  run: (statement: UpstreamStatement, receiver: ResponseReceiver) => void;
  /** Resets the session state; `onReset` is not called if the connection closes first. */
  reset: (onReset: () => void) => void;
  /** Pauses reading, for backpressure from the receiver. */
  pause: () => void;
  resume: () => void;
  /**
   * Closes the connection immediately; `onLost` of a running statement and `onClosed`, or
   * `onOpenFailed`, are called before it returns.
   */
  destroy: () => void;
}

/** Disables mysql2 default flags that callers are not offered; session tracking stays enabled. */
const DRIVER_FLAGS = ['-CLIENT_QUERY_ATTRIBUTES', '-LOCAL_FILES', '-IGNORE_SPACE', '-ODBC'];

const TOO_MANY_CONNECTIONS_ERROR_CODE = 1040;
const DEFAULT_MAXIMUM_PREPARED_STATEMENTS = 64;
const STATEMENT_ID_OFFSET = 1;
const COMMAND_SEQUENCE = 0;
const INCARNATION_QUERY = encodeQuery('SELECT @@server_uuid');

type State = 'opening' | 'identifying' | 'open' | 'closed';

/**
 * Opens a connection to a database. A database process keeps its incarnation, so it is asked for once; a
 * database that does not tell it fails to open.
 *
 * Responses are forwarded as the frames that the database sent. The final packet is parsed, since
 * the proxy needs the statement's outcome.
 *
 * @public
 */
export function createUpstreamConnection(options: UpstreamConnectionOptions): UpstreamConnection {
  const driver = openDriver(options);
  const { stream } = driver;
  const frameCollector = createFrameCollector();
  const statementCache = createPreparedStatementCache(
    options.maximumPreparedStatements ?? DEFAULT_MAXIMUM_PREPARED_STATEMENTS,
  );
  let state: State = 'opening';
  let receiver: ResponseReceiver | undefined;
  let incarnation = '';
  let identificationTimer: NodeJS.Timeout | undefined;

  /** @param failure - reason for `onOpenFailed`; unused if the connection was open. */
  const close = (failure: ConnectFailure): void => {
    if (state === 'closed') return;
    const wasOpen = state === 'open';
    state = 'closed';
    clearTimeout(identificationTimer);
    stream.destroy();
    const interruptedReceiver = receiver;
    receiver = undefined;
    interruptedReceiver?.onLost();
    if (wasOpen) options.onClosed();
    else options.onOpenFailed(failure);
  };

  driver.on('error', (error: { errno?: number }) => {
    close(error.errno === TOO_MANY_CONNECTIONS_ERROR_CODE ? 'connectionLimit' : 'connectFailed');
  });
  // The driver emits `warn` for a packet out of order, after which responses cannot be matched to
  // commands.
  driver.on('warn', () => close('connectFailed'));
  stream.on('close', () => close('connectFailed'));
  // Runs after the driver's listener has parsed the chunk, so its frames are forwarded together.
  stream.on('data', () => {
    if (!receiver) return;
    const frames = frameCollector.take();
    if (frames.length > 0) receiver.onFrames(frames, driver.sequenceId);
  });

  /**
   * Sends commands, of which the last has a response, and reads it; `onDone` receives the final packet.
   */
  const send = (
    payloads: Buffer[],
    reader: ResponseReader,
    isForwarded: boolean,
    onDone: (response: CompletedAnswer) => void,
  ): void => {
    const frames = payloads.map((payload) => toFrames(payload, COMMAND_SEQUENCE));
    const firstResponseSequence = COMMAND_SEQUENCE + countFrames(payloads.at(-1)?.length ?? 0);
    const readPacket = (packet: DriverPacket): boolean => {
      const final = readOrClose(reader, packet);
      if (final) {
        onDone({ final, frames: frameCollector.take(), sequence: packet.sequenceId });
        return true;
      }
      if (isForwarded) frameCollector.add(packet);
      return false;
    };
    const command: DriverCommand = {
      execute: (packet) => {
        if (state === 'closed') return false;
        if (packet) return readPacket(packet);
        stream.write(frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames));
        driver.sequenceId = firstResponseSequence;
        return false;
      },
      onResult: () => close('connectFailed'),
    };
    driver.addCommand(command);
  };

  driver.once('connect', () => {
    if (state !== 'opening') return;
    state = 'identifying';
    identificationTimer = setTimeout(
      () => close('connectFailed'),
      options.connectTimeoutMilliseconds,
    );
    send([INCARNATION_QUERY], createResponseReader(), true, onIdentified);
  });

  function onIdentified(answer: CompletedAnswer): void {
    clearTimeout(identificationTimer);
    incarnation = readIncarnation(answer);
    if (incarnation === '') {
      close('connectFailed');
      return;
    }
    state = 'open';
    options.onOpened();
  }

  function readOrClose(reader: ResponseReader, packet: DriverPacket): FinalPacket | undefined {
    try {
      return reader.read(getPayload(packet));
    } catch {
      // After an invalid packet, the end of the response cannot be determined.
      close('connectFailed');
      return undefined;
    }
  }

  const finish = (response: CompletedAnswer): void => {
    const finishedReceiver = receiver;
    receiver = undefined;
    finishedReceiver?.onAnswered(response);
  };

  const prepare = (sql: SqlBytes, onPrepared: (response: CompletedAnswer) => void): void => {
    const payload = encodeSqlCommand(commandCode.prepare, sql);
    send([payload], createPrepareResponseReader(), false, (response) => {
      if (response.final.type === 'prepared') cacheStatementId(sql, response.final.description);
      onPrepared(response);
    });
  };

  function cacheStatementId(sql: SqlBytes, { header }: PreparedDescription): void {
    const evictedIds = statementCache.add(sql, header.readUInt32LE(STATEMENT_ID_OFFSET));
    evictedIds.forEach((statementId) => stream.write(encodeCloseStatement(statementId)));
  }

  const execute = (statementId: number, { payload, longData }: ExecuteStatement): void => {
    const payloads = [...longData, payload].map((command) =>
      replaceStatementId(command, statementId),
    );
    send(payloads, createResponseReader(), true, finish);
  };

  const runners: RunnersByType = {
    query: ({ payload }) => {
      send([payload], createResponseReader(), true, finish);
    },
    prepare: ({ sqlBytes }) => prepare(sqlBytes, finish),
    execute: (statement) => {
      const cachedId = statementCache.get(statement.sqlBytes);
      if (cachedId !== undefined) {
        execute(cachedId, statement);
        return;
      }
      prepare(statement.sqlBytes, (result) => {
        if (result.final.type !== 'prepared') finish(result);
        else execute(result.final.description.header.readUInt32LE(STATEMENT_ID_OFFSET), statement);
      });
    },
  };

  return {
    get isOpen() {
      return state === 'open';
    },
    get incarnation() {
      return incarnation;
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
      statementCache.clear();
      const payload = Buffer.from([commandCode.resetConnection]);
      send([payload], createResponseReader(), false, ({ final }) => {
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
    // The driver's statement cache is unused, and its default size takes 0.5 MB.
    maxPreparedStatements: 1,
  };
  return createConnection(connectionOptions) as unknown as DriverConnection;
}

/** Returns an empty text if the answer is not a single value. */
function readIncarnation({ frames, final }: CompletedAnswer): string {
  if (final.type !== 'eof') return '';
  try {
    return readSingleValue(frames)?.toString() ?? '';
  } catch {
    return '';
  }
}

function replaceStatementId(command: Buffer, statementId: number): Buffer {
  const copy = Buffer.from(command);
  copy.writeUInt32LE(statementId, STATEMENT_ID_OFFSET);
  return copy;
}

function encodeCloseStatement(statementId: number): Buffer {
  const payload = Buffer.alloc(5);
  payload.writeUInt8(commandCode.closeStatement, 0);
  payload.writeUInt32LE(statementId, STATEMENT_ID_OFFSET);
  return toFrames(payload, COMMAND_SEQUENCE);
}
