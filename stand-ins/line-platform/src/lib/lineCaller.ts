import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** An answer as its caller saw it. */
export interface LineAnswer {
  rows: string[];
  /** The message that ended the answer. */
  end: string;
  /** Letter of the transaction's state. */
  state: string;
}

/** A caller with one session. */
export interface LineCaller {
  /** @throws where the session is closed before the answer. */
  query: (text: string) => Promise<LineAnswer>;
  /** Sends a statement and leaves without waiting for its answer. */
  leaveAfter: (text: string) => void;
  isClosed: () => boolean;
  leave: () => void;
}

interface Waiting {
  settle: (answer: LineAnswer) => void;
  fail: (error: Error) => void;
}

let identities = 0;

/**
 * Opens a session for a database.
 *
 * @param options.prefix - begins the identities of its statements.
 * @throws where the session is refused.
 */
export function connectLineCaller(options: {
  port: number;
  database: string;
  prefix?: string;
  /** Key that the caller presents. */
  key?: string;
}): Promise<LineCaller> {
  const { port, database, prefix = 'q', key = 'tester' } = options;
  return new Promise((resolve, reject) => {
    const socket = connect({ host: '127.0.0.1', port, noDelay: true });
    let isClosed = false;
    let isStarted = false;
    let rest = '';
    let rows: string[] = [];
    let end = '';
    const waiting: Waiting[] = [];

    const caller: LineCaller = {
      query: (text) =>
        new Promise((settle, fail) => {
          if (isClosed) fail(new Error('the session was closed'));
          waiting.push({ settle, fail });
          sendQuery(socket, prefix, text);
        }),
      leaveAfter: (text) => {
        sendQuery(socket, prefix, text);
        socket.end();
      },
      isClosed: () => isClosed,
      leave: () => socket.destroy(),
    };

    const readers: Record<string, (fields: string, line: string) => void> = {
      DATAROW: (fields) => rows.push(fields),
      COMPLETE: (fields, line) => {
        end = line;
      },
      ERROR: (fields, line) => {
        end = line;
        if (!isStarted) reject(new Error(line));
      },
      READY: (fields) => {
        if (!isStarted) {
          isStarted = true;
          resolve(caller);
          return;
        }
        waiting.shift()?.settle({ rows, end, state: fields.split(' ')[0] ?? '' });
        rows = [];
        end = '';
      },
    };

    socket.on('data', (chunk: Buffer) => {
      rest += chunk.toString('latin1');
      const lines = rest.split('\r\n');
      rest = lines.pop() ?? '';
      for (const line of lines) {
        const [word = ''] = line.split(' ');
        readers[word]?.(line.slice(word.length + 1), line);
      }
    });
    socket.on('error', reject);
    socket.on('close', () => {
      isClosed = true;
      const error = new Error('the session was closed');
      for (const { fail } of waiting.splice(0)) fail(error);
      reject(error);
    });
    socket.write(`STARTUP ${database} ${key}\r\n`);
  });
}

function sendQuery(socket: Socket, prefix: string, text: string): void {
  identities += 1;
  socket.write(`QUERY ${prefix}${identities} ${text}\r\n`, 'latin1');
}
