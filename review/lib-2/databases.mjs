// Databases of one service: one primary and its replicas, which speak the line protocol.
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { createServer } from 'node:net';

const REPLICATION_INTERVAL_MILLISECONDS = 10;

/** Time after which a primary that reaches a newer one follows it. */
const STEP_DOWN_MILLISECONDS = 1_000;

/** Time after which a database drops a connection whose other end it does not reach. */
const UNREACHABLE_CONNECTION_MILLISECONDS = 3_000;

const positionOf = (log, length = log.length) => {
  const last = log[length - 1];
  return last ? `${last.term}.${last.index}` : '0.0';
};

/**
 * Creates the databases and their replication.
 *
 * @param options.members - `id` and `place` of each; the first one is the primary. A place of the form
 *   `zone/host` can be cut from everything else.
 * @param options.syncReplicas - replicas that must have received a commit before it is acknowledged.
 */
export function createDatabases({ service, members, network, record, seconds, ...options }) {
  const { promoteMilliseconds = 1_000, lagMilliseconds = 8, syncReplicas = 0 } = options;
  const { workMilliseconds = 5 } = options;
  const databases = members.map(({ id, place }, index) => ({
    id,
    place,
    role: index === 0 ? 'primary' : 'replica',
    term: 1,
    heldTerm: 0,
    log: [{ term: 1, index: 1, item: 'first', value: 'first' }],
    applied: 1,
    newerSeenAt: undefined,
  }));
  /** Promotions that took effect, with the logs that their terms start from. */
  const promotions = [];
  const roleListeners = [];
  let runs = 0;

  const listChanged = (database) => roleListeners.forEach((listener) => listener(database));

  const find = (id) => databases.find((database) => database.id === id);

  /** The primary of the highest term that a database reaches. */
  const findLeader = (database) =>
    databases
      .filter(({ role, place }) => role === 'primary' && network.reaches(place, database.place))
      .sort((left, right) => right.term - left.term)[0];

  function receive(replica, leader) {
    const isHeld = replica.heldTerm > leader.term;
    if (isHeld || leader.term < replica.term) return;
    const shared = replica.log.findIndex((entry, at) => leader.log[at]?.term !== entry.term);
    Object.assign(replica, { term: leader.term, heldTerm: 0 });
    if (shared >= 0) Object.assign(replica, { applied: Math.min(replica.applied, shared) });
    if (shared < 0 && replica.log.length === leader.log.length) return;
    Object.assign(replica, { log: [...leader.log] });
    const { length } = replica.log;
    setTimeout(() => {
      const isKept = replica.log.length >= length;
      if (isKept) Object.assign(replica, { applied: Math.max(replica.applied, length) });
    }, lagMilliseconds);
  }

  function replicate() {
    for (const database of databases) {
      const leader = findLeader(database);
      if (!leader || leader === database) {
        database.newerSeenAt = undefined;
      } else if (database.role === 'replica') {
        receive(database, leader);
      } else {
        database.newerSeenAt ??= performance.now();
        if (performance.now() - database.newerSeenAt >= STEP_DOWN_MILLISECONDS) {
          record(`database ${database.id} follows ${leader.id} of term ${leader.term}`);
          database.role = 'replica';
          listChanged(database);
        }
      }
    }
  }

  const timer = setInterval(replicate, REPLICATION_INTERVAL_MILLISECONDS);

  /** An order of the platform, which reaches every database that the platform reaches. */
  function promote(id, place) {
    const database = find(id);
    if (!database || !network.reaches(place, database.place)) return false;
    if (database.role === 'primary') return true;
    setTimeout(() => {
      const term = Math.max(...databases.map((other) => other.term)) + 1;
      Object.assign(database, { role: 'primary', term, heldTerm: 0 });
      database.applied = database.log.length;
      record(`database ${id} leads term ${term} from ${positionOf(database.log)}`);
      promotions.push({ id, term, at: seconds(), log: [...database.log] });
      listChanged(database);
    }, promoteMilliseconds);
    return true;
  }

  const isReceived = (primary, entry) =>
    databases.filter(
      (other) => other !== primary && other.log[entry.index - 1]?.statement === entry.statement,
    ).length >= syncReplicas;

  async function commit(database, writes) {
    const entries = writes.map((write, at) => ({
      ...write,
      term: database.term,
      index: database.log.length + 1 + at,
    }));
    database.log.push(...entries);
    Object.assign(database, { applied: database.log.length });
    const last = entries.at(-1);
    while (syncReplicas > 0 && !isReceived(database, last)) await pause(2);
  }

  function sign() {
    runs += 1;
    return `s${runs}.${Math.random().toString(36).slice(2, 10)}`;
  }

  return {
    service,
    databases,
    find,
    promotions,
    promote,
    commit,
    sign,
    workMilliseconds,
    record,
    onRoleChange: (listener) => roleListeners.push(listener),
    close: () => clearInterval(timer),
  };
}

/** Serves a database to one instance; `link` is the way between them. */
export async function serveDatabase({ group, database, link, from }) {
  const sockets = new Set();
  const server = createServer({ noDelay: true }, (socket) => {
    const session = createSession({ group, database, link, from, socket });
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', session.receive);
  });
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

function createSession({ group, database, link, from, socket }) {
  const values = new Map();
  const prepared = new Map();
  const { record } = group;
  let transaction;
  let hasFailed = false;
  let rest = '';
  let work = Promise.resolve();
  let waitingInput = [];
  const waitingOutput = [];
  let dropTimer;

  // A cut holds back what is on its way, which is lost if the sender resets the connection; the database
  // gives the connection up after a while.
  link.onChange(() => {
    clearTimeout(dropTimer);
    if (socket.destroyed) return;
    if (!link.isOpen()) {
      dropTimer = setTimeout(() => {
        transaction = undefined;
        waitingInput = undefined;
      }, UNREACHABLE_CONNECTION_MILLISECONDS);
    } else if (waitingInput === undefined) {
      socket.destroy();
    } else {
      for (const text of waitingOutput.splice(0)) socket.write(text, 'latin1');
      for (const chunk of waitingInput.splice(0)) read(chunk);
    }
  });

  function send(line) {
    const text = `${line}\r\n`;
    if (!socket.writable) return;
    if (link.isOpen()) socket.write(text, 'latin1');
    else waitingOutput.push(text);
  }

  const state = () => {
    if (hasFailed) return 'E';
    return transaction ? 'T' : 'I';
  };

  function reply({ rows = [], error, signature = '-' }) {
    for (const row of rows) send(`DATAROW ${row}`);
    send(error ? `ERROR ${error}` : `COMPLETE ${signature}`);
    send(`READY ${state()} ${positionOf(database.log, database.applied)}`);
  }

  function fail(error) {
    hasFailed = transaction !== undefined;
    return { error };
  }

  const report = () => {
    const { role, term, heldTerm, log } = database;
    return { rows: [`${role} ${term} ${positionOf(log)} ${heldTerm} 0 0 1`] };
  };

  function readItem(item) {
    const pending = transaction?.writes.findLast((write) => write.item === item);
    const kept = database.log.slice(0, database.applied).findLast((entry) => entry.item === item);
    const value = (pending ?? kept)?.value;
    return { rows: value === undefined ? [] : [value], signature: group.sign() };
  }

  async function writeItem(statement, item, value) {
    if (database.role !== 'primary' || transaction?.isReadOnly) {
      return fail(`READONLY ${database.id}`);
    }
    if (transaction) transaction.writes.push({ statement, item, value });
    else await group.commit(database, [{ statement, item, value }]);
    return { signature: group.sign() };
  }

  const handlers = {
    BEGIN: ({ words: [mode] }) => {
      const isReadOnly = mode === 'READ';
      if (!isReadOnly && database.role !== 'primary') return { error: `READONLY ${database.id}` };
      transaction = { isReadOnly, writes: [] };
      return {};
    },
    COMMIT: async () => {
      const ending = transaction;
      const hadFailed = hasFailed;
      transaction = undefined;
      hasFailed = false;
      if (!ending || hadFailed) return { error: 'ABORTED the transaction had failed' };
      if (ending.writes.length > 0) {
        if (database.role !== 'primary') return { error: `READONLY ${database.id}` };
        await group.commit(database, ending.writes);
      }
      return { signature: group.sign() };
    },
    ROLLBACK: () => {
      transaction = undefined;
      hasFailed = false;
      return {};
    },
    READ: ({ words: [item] }) => readItem(item),
    WRITE: ({ id, words: [item, value] }) => writeItem(id, item, value),
    EXECUTE: ({ id, words: [name, item, value] }) => {
      const access = prepared.get(name);
      if (!access) return { error: `NOSTMT ${name}` };
      return access === 'READ' ? readItem(item) : writeItem(id, item, value);
    },
    SET: ({ words: [name, value] }) => {
      values.set(name, value);
      return {};
    },
    PREPARE: ({ words: [name, access] }) => {
      prepared.set(name, access);
      return {};
    },
    RESET: () => {
      values.clear();
      prepared.clear();
      return {};
    },
    STATUS: report,
    PAUSE: ({ words: [term] }) => {
      const isNewer = Number(term) > database.term;
      if (database.role === 'replica' && isNewer) {
        Object.assign(database, { heldTerm: Number(term) });
      }
      return report();
    },
    RESUME: () => {
      Object.assign(database, { heldTerm: 0 });
      return report();
    },
    DEMOTE: ({ words: [term] }) => {
      if (database.role === 'primary' && database.term < Number(term)) {
        Object.assign(database, { role: 'replica' });
        record(`database ${database.id} is demoted`);
      }
      return report();
    },
  };

  const RUNNING = new Set(['READ', 'WRITE', 'EXECUTE', 'COMMIT']);

  function lacks(after) {
    const [term, index] = after.split('.').map(Number);
    return database.applied < index || database.log[index - 1].term < term;
  }

  async function run(id, [verb, ...words]) {
    if (verb === 'AFTER') {
      const [after, ...statement] = words;
      return lacks(after) ? fail(`LAGGING ${database.id}`) : run(id, statement);
    }
    if (hasFailed && verb !== 'ROLLBACK' && verb !== 'COMMIT') return { error: 'MALFORMED failed' };
    if (RUNNING.has(verb)) {
      await pause(group.workMilliseconds);
      record(`database ${database.id} of term ${database.term} runs ${id} ${verb} for ${from}`);
    }
    return handlers[verb] ? handlers[verb]({ id, words }) : { error: 'MALFORMED unknown' };
  }

  function readLine(line) {
    const [word, ...words] = line.split(' ');
    if (word === 'STARTUP') {
      const [service, , id = database.id] = words;
      if (service === group.service && id === database.id) {
        send(`READY I ${positionOf(database.log, database.applied)}`);
      } else {
        send(`ERROR WRONGNODE ${database.id}`);
        socket.end();
      }
    } else if (word === 'QUERY') {
      const [id, ...statement] = words;
      work = work.then(async () => reply(await run(id, statement)));
    } else {
      socket.end();
    }
  }

  function read(chunk) {
    rest += chunk.toString('latin1');
    const lines = rest.split('\r\n');
    rest = lines.pop();
    lines.forEach(readLine);
  }

  return {
    receive: (chunk) => {
      if (link.isOpen()) read(chunk);
      else waitingInput?.push(chunk);
    },
  };
}

function pause(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
