import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { breakOff } from './breakOff';
import { positionText } from './lineGroup';
import type { LineGroup, LineMember } from './lineGroup';

/** A statement that a database ran, and in which state of its connection. */
export interface StatementRun {
  memberId: string;
  connection: number;
  /** Who the connection was opened for. */
  client: string;
  id: string;
  text: string;
  values: Record<string, string>;
  /** Number of the transaction that it ran in, or undefined outside of one. */
  transaction: number | undefined;
  /** Steady time at which it began to run. */
  at: number;
}

/** A database that speaks the line protocol over TCP. */
export interface LineDatabase {
  address: string;
  runs: StatementRun[];
  connectionCount: () => number;
  /** Drops all connections and takes no new ones. */
  crash: () => Promise<void>;
  close: () => Promise<void>;
}

interface OpenTransaction {
  number: number;
  isReadOnly: boolean;
  writes: { item: string; value: string }[];
}

interface Reply {
  rows?: string[];
  error?: string;
  isSilent?: boolean;
}

/** Interval at which a held statement looks whether it may start. */
const HOLD_CHECK_MILLISECONDS = 5;

let transactions = 0;

/** @param options.port - port to listen on; any free one if omitted. */
export async function startLineDatabase(
  group: LineGroup,
  member: LineMember,
  { port = 0 }: { port?: number } = {},
): Promise<LineDatabase> {
  const runs: StatementRun[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer({ noDelay: true }, (socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    serveConnection({ socket, group, member, runs, connection: connections });
  });
  const address = await listen(server, port);

  const stop = () =>
    new Promise<void>((resolve) => {
      Object.assign(member, { isUp: false });
      server.close(() => resolve());
      for (const socket of sockets) breakOff(socket);
    });

  return { address, runs, connectionCount: () => sockets.size, crash: stop, close: stop };
}

function serveConnection(options: {
  socket: Socket;
  group: LineGroup;
  member: LineMember;
  runs: StatementRun[];
  connection: number;
}): void {
  const { socket, group, member, runs, connection } = options;
  const values: Record<string, string> = {};
  const prepared = new Map<string, { access: string; shape: string }>();
  let client = '';
  let transaction: OpenTransaction | undefined;
  let isFailed = false;
  let rest = '';
  let work = Promise.resolve();

  const send = (line: string) => {
    if (socket.writable && !member.faults.isSilent) socket.write(`${line}\r\n`, 'latin1');
  };
  const state = () => {
    if (isFailed) return 'E';
    return transaction ? 'T' : 'I';
  };

  function ready(): void {
    send(`READY ${state()} ${positionText(member.log, member.applied)}`);
  }

  function reply({ rows = [], error, isSilent }: Reply): void {
    if (isSilent) return;
    for (const row of rows) send(`DATAROW ${row}`);
    send(error ? `ERROR ${error}` : `COMPLETE ${member.id}.${member.log.length}`);
    ready();
  }

  function record(id: string, text: string): void {
    runs.push({
      memberId: member.id,
      connection,
      client,
      id,
      text,
      values: { ...values },
      transaction: transaction?.number,
      at: performance.now(),
    });
  }

  const report = (): Reply => ({
    rows: [
      `${member.role} ${member.term} ${positionText(member.log)} ${member.heldTerm} 0 0 ${connection}`,
    ],
  });

  function read(item: string): Reply {
    const pending = transaction?.writes.findLast((entry) => entry.item === item)?.value;
    const kept = member.log
      .slice(0, member.applied)
      .findLast((entry) => entry.item === item)?.value;
    const value = pending ?? kept;
    return { rows: value === undefined ? [] : [value] };
  }

  function write(item: string, value: string): Reply {
    if (member.role !== 'primary' || transaction?.isReadOnly) {
      isFailed = transaction !== undefined;
      return { error: `READONLY ${member.id}` };
    }
    if (transaction) transaction.writes.push({ item, value });
    else group.commit(member, [{ item, value }]);
    return loseAnswer({});
  }

  function loseAnswer(answer: Reply): Reply {
    if (member.faults.lostAnswers === 0) return answer;
    member.faults.lostAnswers -= 1;
    return { isSilent: true };
  }

  function commit(): Reply {
    const ending = transaction;
    const hadFailed = isFailed;
    transaction = undefined;
    isFailed = false;
    if (!ending || hadFailed) return { error: 'ABORTED the transaction had failed' };
    if (ending.writes.length === 0) return {};
    if (member.role !== 'primary') return { error: `READONLY ${member.id}` };
    group.commit(member, ending.writes);
    return loseAnswer({});
  }

  function begin(isReadOnly: boolean): Reply {
    if (!isReadOnly && member.role !== 'primary') return { error: `READONLY ${member.id}` };
    transactions += 1;
    transaction = { number: transactions, isReadOnly, writes: [] };
    return {};
  }

  const handlers: Record<string, (words: string[], id: string, text: string) => Reply> = {
    BEGIN: ([mode]) => begin(mode === 'READ'),
    COMMIT: (words, id, text) => {
      record(id, text);
      return commit();
    },
    ROLLBACK: () => {
      transaction = undefined;
      isFailed = false;
      return {};
    },
    READ: ([item], id, text) => {
      record(id, text);
      return read(item ?? '');
    },
    WRITE: ([item, value], id, text) => {
      record(id, text);
      return write(item ?? '', value ?? '');
    },
    EXECUTE: ([name, item, value], id, text) => {
      const statement = prepared.get(name ?? '');
      if (!statement) return { error: `NOSTMT ${name}` };
      record(id, text);
      return statement.access === 'READ' ? read(item ?? '') : write(item ?? '', value ?? '');
    },
    SET: ([name, value]) => {
      values[name ?? ''] = value ?? '';
      return {};
    },
    PREPARE: ([name, access, shape]) => {
      prepared.set(name ?? '', { access: access ?? '', shape: shape ?? '' });
      return {};
    },
    RESET: () => {
      for (const name of Object.keys(values)) delete values[name];
      prepared.clear();
      return {};
    },
    STATUS: report,
    PAUSE: ([term]) => {
      group.pause(member, Number(term));
      return report();
    },
    RESUME: () => {
      Object.assign(member, { heldTerm: 0 });
      return report();
    },
    DEMOTE: ([term]) => {
      group.demote(member, Number(term));
      return report();
    },
  };

  const WORKING = new Set(['READ', 'WRITE', 'EXECUTE', 'COMMIT']);

  function isBehind(after: string): boolean {
    const [term = 0, index = 0] = after.split('.').map(Number);
    const last = member.log[member.applied - 1];
    const lacks = member.applied < index || (last?.term ?? 0) < term;
    const entry = member.log[index - 1];
    return lacks || entry?.term !== term;
  }

  async function waitWhileHeld(): Promise<void> {
    while (member.faults.isHolding && member.isUp) await pause(HOLD_CHECK_MILLISECONDS);
  }

  async function run(id: string, words: string[], text: string): Promise<void> {
    const [verb = '', ...operands] = words;
    if (verb === 'AFTER') {
      const [after = '', ...statement] = operands;
      if (isBehind(after)) reply({ error: `LAGGING ${positionText(member.log, member.applied)}` });
      else await run(id, statement, statement.join(' '));
      return;
    }
    if (WORKING.has(verb)) {
      await waitWhileHeld();
      await pause(member.faults.workTime);
    }
    if (WORKING.has(verb) && member.faults.busyAnswers > 0) {
      member.faults.busyAnswers -= 1;
      reply({ error: 'BUSY all slots are taken' });
      return;
    }
    const handler = handlers[verb];
    reply(handler ? handler(operands, id, text) : { error: 'MALFORMED' });
  }

  function readLine(line: string): void {
    const [word, ...words] = line.split(' ');
    if (word === 'STARTUP') {
      client = words[1] ?? '';
      const isExpected = words[0] === group.name && (words[2] ?? member.id) === member.id;
      if (member.faults.isFull) socket.end(`ERROR TOOMANY ${member.id}\r\n`);
      else if (isExpected) ready();
      else socket.end(`ERROR WRONGNODE ${member.id}\r\n`);
    } else if (word === 'QUERY') {
      const [id = '', ...statement] = words;
      work = work.then(() => run(id, statement, statement.join(' ')));
    } else {
      socket.end();
    }
  }

  socket.on('data', (chunk: Buffer) => {
    if (member.faults.isSilent) return;
    rest += chunk.toString('latin1');
    const lines = rest.split('\r\n');
    rest = lines.pop() ?? '';
    lines.forEach(readLine);
  });
}

function listen(server: Server, port: number): Promise<string> {
  return new Promise((resolve) => {
    server.listen({ host: '127.0.0.1', port }, () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
