import { createCallerListener, toFrames, type CallerConnection } from '@wisterialift/mysql';
import { DEFAULT_DATABASE_OPTIONS } from '@wisterialift/stand-in-database';
import { onTestFinished } from 'vitest';

/** A proxy's connection to the scripted database. */
export interface ScriptedConnection {
  connection: CallerConnection;
  /** Called when the write buffer of the connection has drained. */
  onDrain: () => void;
}

/** Sends the answer to a query. */
export type QueryHandler = (scripted: ScriptedConnection, sql: string) => void;

/** Starts the primary of a group of one member, with answers written by the test. */
export async function startScriptedDatabase(
  handleQuery: QueryHandler,
  { maximumPacketBytes = 1_000_000 } = {},
): Promise<{ port: number }> {
  const status = {
    member: 'a1',
    role: 'primary',
    currentTerm: 1,
    logEnd: { term: 1, index: 1 },
    applied: { term: 1, index: 1 },
    termStarts: [{ term: 1, start: 0 }],
  };
  const connections = new Set<CallerConnection>();
  const listener = createCallerListener({
    host: DEFAULT_DATABASE_OPTIONS.host,
    port: 0,
    maximumPacketBytes,
    authenticate: () => undefined,
    onConnection: (connection) => {
      connections.add(connection);
      const scripted: ScriptedConnection = { connection, onDrain: () => {} };
      connection.start({
        onCommand: (command) => {
          if (command.type !== 'query') connection.finishOk({});
          else if (command.sql === 'SHOW GROUP STATUS') {
            connection.finishResult({ columns: ['status'], rows: [[JSON.stringify(status)]] });
          } else if (command.sql === 'SELECT @@server_uuid') {
            connection.finishResult({ columns: ['@@server_uuid'], rows: [['a1-1']] });
          } else handleQuery(scripted, command.sql);
        },
        onDrain: () => scripted.onDrain(),
        onClosed: () => connections.delete(connection),
      });
    },
  });
  const { port } = await listener.listen();
  onTestFinished(() => {
    listener.stopAccepting();
    connections.forEach((connection) => connection.destroy());
  });
  return { port };
}

const EOF_PAYLOAD = Buffer.from([0xfe, 0, 0, 2, 0]);
const ROW_BYTES = 200;

const ROW = Buffer.concat([Buffer.from([ROW_BYTES]), Buffer.alloc(ROW_BYTES, 'r')]);
const RESULT_START = [Buffer.from([1]), encodeColumnDefinition('text'), EOF_PAYLOAD];

const sendColumns = (connection: CallerConnection): void => {
  connection.writeFrames(RESULT_START.map((payload, index) => toFrames(payload, index + 1)));
};

/** @param number - number of the row, from 1. */
const sendRow = (connection: CallerConnection, number: number): void => {
  connection.writeFrames([toFrames(ROW, RESULT_START.length + number)]);
};

const finishRows = (connection: CallerConnection, count: number): void => {
  connection.finish([toFrames(EOF_PAYLOAD, RESULT_START.length + count + 1)]);
};

/** Sends rows of text, each after a pause. */
export function sendRowsSlowly(
  { connection }: ScriptedConnection,
  { count, pauseMilliseconds }: { count: number; pauseMilliseconds: number },
): void {
  sendColumns(connection);
  let sentCount = 0;
  const timer = setInterval(() => {
    sentCount += 1;
    sendRow(connection, sentCount);
    if (sentCount < count) return;
    clearInterval(timer);
    finishRows(connection, sentCount);
  }, pauseMilliseconds);
}

/** Sends rows of text; waits while the write buffer of the connection is full. */
export function sendRows(
  scripted: ScriptedConnection,
  count: number,
  onProgress: (rows: number) => void,
): void {
  const { connection } = scripted;
  sendColumns(connection);
  let sentCount = 0;
  const sendMore = (): void => {
    while (sentCount < count && !connection.isFull) {
      sentCount += 1;
      sendRow(connection, sentCount);
    }
    onProgress(sentCount);
    if (sentCount < count) return;
    Object.assign(scripted, { onDrain: () => {} });
    finishRows(connection, sentCount);
  };
  Object.assign(scripted, { onDrain: sendMore });
  sendMore();
}

function encodeColumnDefinition(name: string): Buffer {
  const names = ['def', '', '', '', name, name].map((text) =>
    Buffer.concat([Buffer.from([text.length]), Buffer.from(text)]),
  );
  const fixed = Buffer.from([12, 45, 0, 255, 255, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
  return Buffer.concat([...names, fixed]);
}
