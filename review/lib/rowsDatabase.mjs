// Stand-in for a group of three databases that nobody writes to. A read returns many rows.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';

/**
 * Starts one database of the group.
 *
 * @param options.rows - rows that each read returns.
 * @param options.onRead - called when a read runs.
 */
export async function startRowsDatabase({ id, service, role, rows, onRead }) {
  const sockets = new Set();

  function serve(socket) {
    let state = 'I';
    let rest = '';
    const send = (line) => socket.write(`${line}\r\n`, 'latin1');
    const complete = () => {
      send(`COMPLETE ${id}.1`);
      send(`READY ${state} 1.1`);
    };
    const sendStatus = () => {
      send(`DATAROW ${role} 1 1.1 0 0 0 ${sockets.size}`);
      complete();
    };
    const handlers = {
      BEGIN: () => {
        state = 'T';
        complete();
      },
      COMMIT: () => {
        state = 'I';
        complete();
      },
      ROLLBACK: () => {
        state = 'I';
        complete();
      },
      READ: (statement) => {
        onRead(id, statement);
        for (const row of rows) send(`DATAROW ${row}`);
        complete();
      },
      SET: complete,
      PREPARE: complete,
      RESET: complete,
      STATUS: sendStatus,
      PAUSE: sendStatus,
      RESUME: sendStatus,
      DEMOTE: sendStatus,
    };

    function run(words) {
      const statement = words[1] === 'AFTER' ? [words[0], ...words.slice(3)] : words;
      const handle = handlers[statement[1]];
      if (handle) handle(statement.join(' '));
      else {
        send('ERROR MALFORMED this database is only read');
        send(`READY ${state} 1.1`);
      }
    }

    function readLine(line) {
      const [word, ...words] = line.split(' ');
      if (word === 'QUERY') run(words);
      else if (word !== 'STARTUP') socket.end();
      else if (words[0] === service && (words[2] ?? id) === id) send('READY I 1.1');
      else socket.end(`ERROR WRONGNODE ${id}\r\n`);
    }

    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      const lines = (rest + Buffer.from(chunk).toString('latin1')).split('\r\n');
      rest = lines.pop();
      lines.forEach(readLine);
    });
  }

  const server = createServer({ noDelay: true }, serve);
  await new Promise((resolve) => {
    server.listen({ host: '127.0.0.1', port: 0 }, resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
