// Runs a case: starts the deployment, plays the clients and a partition between regions, and judges.
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { join } from 'node:path';
import { createRecord } from './record.mjs';
import { createTraffic, pause } from './traffic.mjs';
import { startWorld } from './world.mjs';

/** Traffic starts this long after the machines. */
const START_SECONDS = 12;
const DATABASE = 'lepu270';
const PLACES = ['sesto-dc', 'mestre-dc', 'modena-dc'];
const INSTANCES = PLACES.map((place) => ({ name: `front-${place}-1`, place }));

/** The primary and one replica are in the regions that lose the platform's. */
const MEMBERS = [
  { id: 'i-a', place: 'mestre-dc' },
  { id: 'i-b', place: 'sesto-dc' },
  { id: 'i-c', place: 'modena-dc' },
];

const ROUTES = [
  {
    name: 'r-1',
    host: DATABASE,
    path_prefix: '/',
    route_type: 'primary',
    timeout_ms: 1_000,
    latency_goal_ms: 500,
    priority: 1,
    attempts: 2,
  },
];

const isIn = (place, area) => area === '*' || place === area || place.startsWith(`${area}/`);

/** Whether one of the pairs of areas, where `*` is everything, separates two places. */
const includes = (pairs, from, to) =>
  pairs.some(([left, right]) => isIn(from, left) && isIn(to, right));

/**
 * Plays partitions between regions, unless `TROUBLE` is 0, and planned work.
 *
 * @param options.cuts - when they begin, and the pairs of areas that do not reach each other from then.
 * @param options.shutdown - the database that is shut down by plan, and when it reports that.
 * @param options.clients - clients of each instance.
 * @param options.judge - lists what broke the rule, one line each.
 */
async function play({ record, cuts, shutdown, healSeconds, endSeconds, judge, ...options }) {
  const { members = MEMBERS, syncReplicas, clients: clientCount = 1 } = options;
  const startedAt = performance.now();
  const seconds = () => (performance.now() - startedAt) / 1_000;
  const until = (time) => pause(Math.max(0, time - seconds()) * 1_000);
  const world = await startWorld({
    places: PLACES,
    members,
    instances: INSTANCES,
    routes: ROUTES,
    syncReplicas,
    record,
    seconds,
  });
  const traffic = createTraffic({
    database: DATABASE,
    places: PLACES,
    record,
    seconds,
    endSeconds,
  });
  try {
    await until(START_SECONDS);
    const numbers = Array.from({ length: clientCount }, (_, index) => index + 1);
    const clients = world.instances.flatMap((instance) =>
      numbers.map((number) => traffic.runClient(instance, number)),
    );
    for (const { atSeconds, pairs } of process.env.TROUBLE === '0' ? [] : cuts) {
      await until(atSeconds);
      record(
        `these do not reach each other: ${pairs.map((pair) => pair.join(' and ')).join(', ')}`,
      );
      world.network.cut((from, to) => includes(pairs, from, to));
    }
    if (shutdown) {
      await until(shutdown.atSeconds);
      world.announceShutdown(shutdown.id);
    }
    await until(healSeconds);
    record('all reach each other');
    world.network.heal();
    await Promise.all(clients);
    const broken = judge({ ...traffic, group: world.group });
    record(`${traffic.writes.length} writes acknowledged, ${traffic.reads.length} reads answered`);
    record(`the rule was broken ${broken.length} times`);
    for (const line of broken.slice(0, 10)) record(line);
    if (traffic.writes.length === 0 || traffic.reads.length === 0) return 2;
    return broken.length > 0 ? 1 : 0;
  } finally {
    for (const { name, readLog } of world.instances) {
      if (process.env.LOGS) process.stdout.write(`${name}\n${readLog()}`);
    }
    await world.close();
  }
}

for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));

/** @param folder - where `record.txt` is written. */
export async function runCase(folder, options) {
  const { record, save } = createRecord(join(folder, 'record.txt'));
  const code = await play({ record, ...options }).catch((error) => {
    record(`the case could not run: ${error.stack}`);
    return 2;
  });
  record(`exit code ${code}`);
  save();
  process.exit(code);
}
