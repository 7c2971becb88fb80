import { connect } from 'node:net';
import type { StatementRecord } from './statementRecord';

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
  id: string;
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
  /** Record of what all callers send. */
  record?: StatementRecord;
}): Promise<LineCaller> {
  const { port, database, prefix = 'q', key = 'tester', record } = options;
  const session = record?.openSession();
  return new Promise((resolve, reject) => {
    const socket = connect({ host: '127.0.0.1', port, noDelay: true });
    let isClosed = false;
    let isStarted = false;
    let rest = '';
    let rows: string[] = [];
    let end = '';
    const waiting: Waiting[] = [];

    function sendQuery(text: string): string {
      identities += 1;
      const id = `${prefix}${identities}`;
      session?.noteSent({ id, text });
      socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
      return id;
    }

    function finishAnswer(state: string): void {
      const answer = { rows, end, state };
      rows = [];
      end = '';
      const answered = waiting.shift();
      if (!answered) return;
      session?.noteAnswer(answered.id, answer.end.startsWith('COMPLETE'));
      answered.settle(answer);
    }

    const caller: LineCaller = {
      query: (text) =>
        new Promise((settle, fail) => {
          if (isClosed) {
            fail(new Error('the session was closed'));
            return;
          }
          waiting.push({ id: sendQuery(text), settle, fail });
        }),
      leaveAfter: (text) => {
        sendQuery(text);
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
        finishAnswer(fields.split(' ')[0] ?? '');
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
