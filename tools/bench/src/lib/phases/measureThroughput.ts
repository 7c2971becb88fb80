import type { Connection } from 'mysql2/promise';
import type { Trial } from '../cluster/startTrial';
import { repeatFor } from '../load/timings';

/** Statements a second by way of the proxies, directly spread over all members, and at the primary. */
export interface ThroughputResult {
  direct: number;
  primaryOnly: number;
  proxies: number;
  ratioToDirect: number;
}

const READ = 'SELECT note FROM records WHERE id = ?';
const PROXY_READ = `/* wisterialift kind=lookup */ ${READ}`;
/** Proxies learn the new time of a statement before they use every slot again. */
const SETTLE_MILLISECONDS = 1_700;
/** More than the slots of a group, few enough beside the connections that the proxies keep. */
const DIRECT_CONNECTIONS = 24;
/**
 * Callers of the proxies, so many that reads wait there: a read waits for a replica a while before
 * it takes a slot of the primary.
 */
const CALLER_CONNECTIONS = 120;

/** A way in which clients reach the group, and what came of it so far. */
interface Way {
  sql: string;
  connections: Connection[];
  completed: number;
  milliseconds: number;
}

/** Slices that each way gets in turn, so that a machine that is busy at times is so for all. */
const SLICES = 4;

/** Measures reads in a closed loop, with enough connections in each way to fill the slots. */
export async function measureThroughput(
  trial: Trial,
  options: { group: string; milliseconds: number; serviceMilliseconds: number },
): Promise<ThroughputResult> {
  const { group, milliseconds, serviceMilliseconds } = options;
  const members = trial.databasesOf(group);
  const primary = members[0]!;
  await Promise.all(members.map((member) => member.changeFaults({ serviceMilliseconds })));
  const ways = {
    direct: await openWay(READ, DIRECT_CONNECTIONS, (index) =>
      trial.connectToDatabase(members[index % members.length]!),
    ),
    primaryOnly: await openWay(READ, DIRECT_CONNECTIONS / members.length, () =>
      trial.connectToDatabase(primary),
    ),
    proxies: await openWay(PROXY_READ, CALLER_CONNECTIONS, (index) =>
      trial.connectToProxy(trial.proxies[index % trial.proxies.length]!, group),
    ),
  };
  const all = Object.values(ways);
  try {
    await runSlice(ways.proxies, SETTLE_MILLISECONDS);
    all.forEach((way) => Object.assign(way, { completed: 0, milliseconds: 0 }));
    for (let slice = 0; slice < SLICES; slice += 1) {
      for (const way of all) await runSlice(way, milliseconds / SLICES / all.length);
    }
    const proxies = rateOf(ways.proxies);
    const direct = rateOf(ways.direct);
    return {
      direct,
      primaryOnly: rateOf(ways.primaryOnly),
      proxies,
      ratioToDirect: proxies / direct,
    };
  } finally {
    all.forEach(({ connections }) => connections.forEach((connection) => connection.destroy()));
    await Promise.all(
      members.map((member) =>
        member.changeFaults({ serviceMilliseconds: trial.options.serviceMilliseconds }),
      ),
    );
  }
}

async function openWay(
  sql: string,
  count: number,
  open: (index: number) => Promise<Connection>,
): Promise<Way> {
  const indices = Array.from({ length: count }, (_, index) => index);
  const connections = await Promise.all(indices.map(open));
  return { sql, connections, completed: 0, milliseconds: 0 };
}

/** Runs the statement on every connection of a way in a closed loop. */
async function runSlice(way: Way, milliseconds: number): Promise<void> {
  const { sql, connections } = way;
  const started = performance.now();
  const counts = await Promise.all(
    connections.map(async (connection) => {
      let completed = 0;
      await repeatFor(milliseconds, async () => {
        await connection.query(sql, ['absent']);
        completed += 1;
      });
      return completed;
    }),
  );
  const completed = counts.reduce((sum, count) => sum + count, 0);
  Object.assign(way, {
    completed: way.completed + completed,
    milliseconds: way.milliseconds + performance.now() - started,
  });
}

/** Statements a second. */
function rateOf({ completed, milliseconds }: Way): number {
  return (completed * 1_000) / milliseconds;
}
