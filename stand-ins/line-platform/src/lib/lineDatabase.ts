import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { breakOff } from './breakOff';
import { positionText } from './lineGroup';
import type { LineGroup, LineMember } from './lineGroup';
import { parseQueryText, splitFields } from './queryText';
import type { Query, QueryFields, QueryVerb } from './queryText';

/** A statement that a database ran, and in which state of its connection. */
export interface StatementRun {
  memberId: string;
  connection: number;
  /** Who the connection was opened for. */
  client: string;
  id: string;
  /** As it was sent, without the position that it may be preceded by. */
  text: string;
  /** What a read or a write is about; undefined for other statements. */
  item: string | undefined;
  /** What a write writes. */
  data: string | undefined;
  /** What the name of an EXECUTE was prepared with. */
  prepared: PreparedStatement | undefined;
  values: Record<string, string>;
  /** Number of the transaction that it ran in, or undefined outside of one. */
  transaction: number | undefined;
  /** Steady time at which it began to run. */
  at: number;
}

/** A statement that a connection has prepared. */
export interface PreparedStatement {
  access: string;
  shape: string;
}

/** A message that a database did not take. */
export interface RejectedMessage {
  reason:
    /** A query text of another form than the protocol's. */
    | 'malformed'
    /** A message of another kind, or without its fields. */
    | 'unreadable'
    | 'tooLong';
  /** Id of a malformed statement; undefined for other messages. */
  id: string | undefined;
  /** Begin of the statement, or of the message. */
  text: string;
}

/** A database that speaks the line protocol over TCP. */
export interface LineDatabase {
  address: string;
  runs: StatementRun[];
  rejections: RejectedMessage[];
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

const MAXIMUM_MESSAGE_BYTES = 1_048_576;

/** Characters of a rejected message that are kept. */
const KEPT_CHARACTERS = 200;

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
  const rejections: RejectedMessage[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer({ noDelay: true }, (socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    serveConnection({ socket, group, member, runs, rejections, connection: connections });
  });
  const address = await listen(server, port);

  const stop = () =>
    new Promise<void>((resolve) => {
      Object.assign(member, { isUp: false });
      server.close(() => resolve());
      for (const socket of sockets) breakOff(socket);
    });

  return {
    address,
    runs,
    rejections,
    connectionCount: () => sockets.size,
    crash: stop,
    close: stop,
  };
}

function serveConnection(options: {
  socket: Socket;
  group: LineGroup;
  member: LineMember;
  runs: StatementRun[];
  rejections: RejectedMessage[];
  connection: number;
}): void {
  const { socket, group, member, runs, rejections, connection } = options;
  const values = new Map<string, string>();
  const prepared = new Map<string, PreparedStatement>();
  let client = '';
  let isStarted = false;
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

  function reject(reason: RejectedMessage['reason'], text: string, id?: string): void {
    rejections.push({ reason, id, text: text.slice(0, KEPT_CHARACTERS) });
  }

  function rejectStatement(id: string, text: string): Reply {
    reject('malformed', text, id);
    return { error: 'MALFORMED' };
  }

  function record(id: string, { text, fields: { item, data, name } }: Query): void {
    runs.push({
      memberId: member.id,
      connection,
      client,
      id,
      text,
      item,
      data,
      prepared: name === undefined ? undefined : prepared.get(name),
      values: Object.fromEntries(values),
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

  const handlers: {
    [Verb in QueryVerb]: (fields: QueryFields<Verb>, id: string, query: Query) => Reply;
  } = {
    BEGIN: ({ mode }) => begin(mode === 'READ'),
    COMMIT: (fields, id, query) => {
      record(id, query);
      return commit();
    },
    ROLLBACK: () => {
      transaction = undefined;
      isFailed = false;
      return {};
    },
    READ: ({ item }, id, query) => {
      record(id, query);
      return read(item);
    },
    WRITE: ({ item, data }, id, query) => {
      record(id, query);
      return write(item, data);
    },
    EXECUTE: ({ name, item, data }, id, query) => {
      const statement = prepared.get(name);
      if (!statement) return { error: `NOSTMT ${name}` };
      if ((statement.access === 'READ') !== (data === undefined)) {
        return rejectStatement(id, query.text);
      }
      record(id, query);
      return data === undefined ? read(item) : write(item, data);
    },
    SET: ({ name, value }) => {
      values.set(name, value);
      return {};
    },
    PREPARE: ({ name, access, shape }) => {
      prepared.set(name, { access, shape });
      return {};
    },
    DEALLOCATE: ({ name }) => {
      prepared.delete(name);
      return {};
    },
    RESET: () => {
      values.clear();
      prepared.clear();
      return {};
    },
    STATUS: report,
    PAUSE: ({ term }) => {
      group.pause(member, Number(term));
      return report();
    },
    RESUME: () => {
      Object.assign(member, { heldTerm: 0 });
      return report();
    },
    DEMOTE: ({ term }) => {
      group.demote(member, Number(term));
      return report();
    },
  };

  const WORKING: ReadonlySet<QueryVerb> = new Set<QueryVerb>([
    'READ',
    'WRITE',
    'EXECUTE',
    'COMMIT',
  ]);

  function isBehind({ term, index }: NonNullable<Query['after']>): boolean {
    const last = member.log[member.applied - 1];
    const lacks = member.applied < index || (last?.term ?? 0) < term;
    const entry = member.log[index - 1];
    return lacks || entry?.term !== term;
  }

  async function waitWhileHeld(): Promise<void> {
    while (member.faults.isHolding && member.isUp) await pause(HOLD_CHECK_MILLISECONDS);
  }

  async function run(id: string, text: string): Promise<void> {
    const query = parseQueryText(text);
    if (!query) {
      reply(rejectStatement(id, text));
      return;
    }
    const { verb, fields, after } = query;
    if (after && isBehind(after)) {
      reply({ error: `LAGGING ${positionText(member.log, member.applied)}` });
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
    const handle = handlers[verb] as (fields: Query['fields'], id: string, query: Query) => Reply;
    reply(handle(fields, id, query));
  }

  function dropFor(reason: RejectedMessage['reason'], line: string): void {
    reject(reason, line);
    socket.end();
  }

  function readStartup(line: string): void {
    const [service, name, expectedId = member.id] = splitFields(line, 4).slice(1);
    if (isStarted || !service || !name || !expectedId) {
      dropFor('unreadable', line);
      return;
    }
    client = name;
    const isExpected = service === group.name && expectedId === member.id;
    if (member.faults.isFull) socket.end(`ERROR TOOMANY ${member.id}\r\n`);
    else if (isExpected) start();
    else socket.end(`ERROR WRONGNODE ${member.id}\r\n`);
  }

  function start(): void {
    isStarted = true;
    ready();
  }

  function readQuery(line: string): void {
    const [, id, text] = splitFields(line, 3);
    if (!isStarted || !id || text === undefined) dropFor('unreadable', line);
    else work = work.then(() => run(id, text));
  }

  const messageReaders = new Map<string, (line: string) => void>([
    ['STARTUP', readStartup],
    ['QUERY', readQuery],
    ['TERMINATE', () => socket.end()],
  ]);

  function readLine(line: string): void {
    const [word = ''] = splitFields(line, 2);
    const readMessage = messageReaders.get(word);
    if (line.length > MAXIMUM_MESSAGE_BYTES) dropFor('tooLong', line);
    else if (readMessage) readMessage(line);
    else dropFor('unreadable', line);
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
