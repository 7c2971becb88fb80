// A client with one session, which sends one statement at a time.
import { connect } from 'node:net';

let statements = 0;

/** @returns the session once it is ready. @throws Error if it is refused or closed. */
export function openSession({ host, port, database }) {
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, noDelay: true });
    let rest = '';
    let rows = [];
    let end = '';
    let waiting;
    let isStarted = false;

    const session = {
      /** Resolves with the answer; `end` is empty if the session closed without one. */
      query: (text) =>
        new Promise((settle) => {
          statements += 1;
          const id = `q${statements}`;
          waiting = (answer) => settle({ id, ...answer });
          if (socket.destroyed) finish({ rows: [], end: '', state: 'closed' });
          else socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
        }),
      close: () => socket.destroy(),
    };

    function finish(answer) {
      const settle = waiting;
      waiting = undefined;
      settle?.(answer);
    }

    const readers = {
      DATAROW: (fields) => rows.push(fields),
      COMPLETE: (_, line) => {
        end = line;
      },
      ERROR: (_, line) => {
        end = line;
        if (!isStarted) reject(new Error(line));
      },
      READY: (fields) => {
        if (!isStarted) {
          isStarted = true;
          resolve(session);
          return;
        }
        const answer = { rows, end, state: fields.split(' ')[0] };
        rows = [];
        end = '';
        finish(answer);
      },
    };

    socket.on('data', (chunk) => {
      rest += chunk.toString('latin1');
      const lines = rest.split('\r\n');
      rest = lines.pop();
      for (const line of lines) {
        const [word] = line.split(' ');
        readers[word]?.(line.slice(word.length + 1), line);
      }
    });
    socket.on('error', reject);
    socket.on('close', () => {
      reject(new Error('closed'));
      finish({ rows: [], end: '', state: 'closed' });
    });
    socket.on('connect', () => socket.write(`STARTUP ${database} reviewer\r\n`));
  });
}
