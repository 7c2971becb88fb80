// A primary is partitioned from its replicas and from some instances. A session that has written through
// one of these reads in a transaction through another one, which still reaches the former primary.
import { EventEmitter } from 'node:events';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as pause } from 'node:timers/promises';
import {
  createLineGroup,
  startDutyServer,
  startLineDatabase,
} from '../../target/review/linePlatform.mjs';
import { openSession, startInstance } from '../lib/instance.mjs';
import { openLink } from '../lib/link.mjs';
import { startPagedStore } from '../lib/pagedStore.mjs';
import { createRecord } from '../lib/record.mjs';

EventEmitter.defaultMaxListeners = 50;

const IS_TROUBLE = process.env.TROUBLE !== '0';

const SERVICE = 'archive';
const INSTANCES = 12;
/** Fewer than two for each instance, so that two instances hold the connections for all. */
const MAXIMUM_CONNECTIONS = 23;
/** Time in which the instances learn of each other and the databases are registered. */
const WARM_MILLISECONDS = 16_000;
/** Time for which a plan with two holders is awaited. */
const HOLDERS_MILLISECONDS = 20_000;
/** Share of the instances from which the primary is partitioned. */
const CUT_SHARE = 0.65;
/** The reads that keep one holder busy, so that the next statement goes to the other one. */
const SLOW_WORK_MILLISECONDS = 600;

const record = createRecord('review/2/record.txt');
const store = await startPagedStore();
const group = createLineGroup({ name: SERVICE, ids: ['i-1a', 'i-2b', 'i-3c'], promoteTime: 300 });
const duty = await startDutyServer(() => group);
const databases = new Map();

function report(member) {
  store.put('servers', member.id, {
    service: SERVICE,
    address: databases.get(member.id).address,
    zone: 'zone-1',
    version: 'v1',
    slots: 5,
    state: 'ready',
    warmup_left_ms: 0,
    db_role: member.role,
    born: 1_790_000_000_000,
    seq: 1,
  });
}

const route = (host, routeType, staleness) => ({
  host,
  path_prefix: '/',
  route_type: routeType,
  timeout_ms: 1_000,
  latency_goal_ms: 1_000,
  max_staleness_ms: staleness,
  priority: 2,
  service: SERVICE,
  attempts: 2,
});

/** The replicas receive nothing from the primary that is cut off, and follow the next one. */
function isolatePrimary() {
  const replicas = [...group.members.values()].filter(({ role }) => role === 'replica');
  for (const { faults } of replicas) faults.isDeaf = true;
  group.onRoleChange(() => {
    for (const { faults } of replicas) faults.isDeaf = false;
  });
}

/** Starts an instance that reaches the store and each database over a link of its own. */
async function startLinkedInstance(name) {
  const links = {};
  const toDatabases = {};
  for (const [id, { address }] of databases) {
    toDatabases[id] = await openLink(address);
    links[address] = toDatabases[id].address;
  }
  const toStore = await openLink(await store.open(links));
  const instance = await startInstance({
    name,
    store: toStore.address,
    orders: duty.address,
    isFirstStart: true,
  });
  return { ...instance, name, toStore, toDatabases };
}

/** Returns the instances that hold the connections, in the order in which they are preferred. */
function findHolders(lines) {
  const plans = lines
    .filter((line) => line.includes('"event":"holdersPlanned"'))
    .map((line) => JSON.parse(line));
  const { type, near = [], nearCount = 0 } = plans.at(-1) ?? {};
  return type === 'holders' ? near.slice(0, nearCount) : [];
}

async function waitForHolders({ lines }) {
  const until = performance.now() + HOLDERS_MILLISECONDS;
  while (findHolders(lines).length !== 2 && performance.now() < until) await pause(200);
}

async function ask(session, name, id, text) {
  const sentAt = performance.now();
  record.add(`${name} sends ${id} ${text}`, sentAt);
  const answer = await session.query(id, text);
  const { rows, signature, error, lost } = answer;
  const end = lost ? 'connection broken' : (error ?? `success, signature ${signature}`);
  const rowText = rows.length > 0 ? `, rows ${rows.join(' ')}` : ', no rows';
  record.add(`${name} gets for ${id}: ${end}${error ? '' : rowText}`);
  return answer;
}

async function play(instances) {
  const { callers, first, second } = chooseRoles(instances);
  record.add(`sessions are at ${callers.name}; holders are ${first.name} and ${second.name}`);
  const session = await openSession({ port: callers.port, database: 'filing' });
  const other = await openSession({ port: callers.port, database: 'history' });
  const local = await openSession({ port: second.port, database: 'history' });

  await ask(session, 'the session', 'w1', 'WRITE item-1 former');
  // The second holder serves a caller of its own and so hears from all databases.
  for (let index = 0; index < 40; index += 1) {
    await local.query(`l${index}`, 'READ item-1');
    await pause(10);
  }
  if (IS_TROUBLE) {
    // The replicas and a share of the instances on one side, the primary and the other instances on the
    // other one; each instance still reaches the store and all instances.
    const others = instances.filter(({ name }) => name !== first.name && name !== second.name);
    const withReplicas = [first, ...others].slice(0, Math.floor(INSTANCES * CUT_SHARE));
    for (const instance of instances) {
      if (withReplicas.includes(instance)) instance.toDatabases['i-1a'].cut();
      else for (const id of ['i-2b', 'i-3c']) instance.toDatabases[id].cut();
    }
    isolatePrimary();
    const names = withReplicas.map(({ name }) => name).join(', ');
    record.add(`i-1a is partitioned from its replicas and from ${names}; the others are with it`);
  }

  let written;
  for (let attempt = 0; attempt < 4 && !written; attempt += 1) {
    const { signature } = await ask(session, 'the session', `w2-${attempt}`, 'WRITE item-1 latter');
    written = signature;
  }
  if (!written) throw new Error('the write was not acknowledged');
  for (const { faults } of group.members.values()) faults.workTime = SLOW_WORK_MILLISECONDS;
  const slow = ask(other, 'another session', 's1', 'READ item-2');
  await pause(30);
  for (const { faults } of group.members.values()) faults.workTime = 1;
  await ask(session, 'the session', 'b1', 'BEGIN');
  const { rows, signature } = await ask(session, 'the session', 'r1', 'READ item-1');
  await ask(session, 'the session', 'c1', 'COMMIT');
  await slow;
  for (const [id, { runs }] of databases) {
    for (const run of runs.filter(({ id: statement }) => /^[wrcs]/.test(statement))) {
      record.add(`${id} runs ${run.id} ${run.text}`, run.at);
    }
  }
  if (!signature) return undefined;
  return rows[0] === 'latter';
}

/** The session is at an instance that holds no connections. */
function chooseRoles(instances) {
  const callers = instances.at(-1);
  const [firstName, secondName] = findHolders(callers.lines);
  const find = (wanted) => instances.find(({ name }) => name === wanted);
  if (!firstName || !secondName) throw new Error('there are not two holders');
  const roles = { first: find(firstName), second: find(secondName) };
  const outside = instances.findLast(({ name }) => name !== firstName && name !== secondName);
  return { ...roles, callers: outside };
}

async function playAll() {
  for (const member of group.members.values()) {
    databases.set(member.id, await startLineDatabase(group, member));
    report(member);
  }
  group.onRoleChange(report);
  store.put('config', 'main', {
    version: 7,
    routes: [
      route('filing', 'read_your_writes', 2_500),
      route('history', 'bounded_staleness', 1_500),
    ],
    services: [{ name: SERVICE, max_conns: MAXIMUM_CONNECTIONS, sync_replicas: 0 }],
    limits: { tx_idle_ms: 3_000 },
  });
  const instances = [];
  try {
    for (let index = 1; index <= INSTANCES; index += 1) {
      instances.push(await startLinkedInstance(`front-${String(index).padStart(2, '0')}`));
    }
    for (const instance of instances) await instance.waitUntilReady();
    await pause(WARM_MILLISECONDS);
    await waitForHolders(instances.at(-1));
    const isOwnWriteRead = await play(instances);
    for (const { name, lines } of instances) {
      for (const line of lines) {
        if (/"event":"(promotionOrdered|primarySuspected|relayFailed)"/.test(line)) {
          record.add(`log of ${name}: ${line}`);
        }
      }
    }
    const results = {
      true: 'the transaction read what the session had written before',
      false: 'the transaction read what the session had overwritten before',
      undefined: 'the read in the transaction was refused',
    };
    const summary = results[String(isOwnWriteRead)];
    record.add(summary);
    process.stdout.write(`${summary}\n`);
    return isOwnWriteRead === false ? 1 : 0;
  } finally {
    await Promise.all(instances.map((instance) => instance.close()));
  }
}

let code = 2;
try {
  code = await playAll();
} catch (error) {
  record.add(`could not run: ${error.stack}`);
  process.stdout.write(`${error.stack}\n`);
}
record.write();
process.exit(code);
