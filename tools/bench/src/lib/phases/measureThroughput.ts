import type { Connection } from 'mysql2/promise';
import type { Trial } from '../cluster/startTrial';
import { repeatFor } from '../load/measure';

/** Statements a second by way of the proxies, directly spread over all members, and at the primary. */
export interface ThroughputResult {
  direct: number;
  primaryOnly: number;
  proxies: number;
  ratioToDirect: number;
}

const READ = 'SELECT note FROM records WHERE id = ?';
/** More than the slots of a group, few enough beside the connections that the proxies keep. */
const CONNECTIONS = 24;

/** Measures reads in a closed loop, with the same number of connections in each way. */
export async function measureThroughput(
  trial: Trial,
  options: { group: string; milliseconds: number; serviceMilliseconds: number },
): Promise<ThroughputResult> {
  const { group, milliseconds, serviceMilliseconds } = options;
  const members = trial.databasesOf(group);
  const share = milliseconds / 3;
  await Promise.all(members.map((member) => member.changeFaults({ serviceMilliseconds })));
  try {
    const direct = await runLoop(share, READ, (index) =>
      trial.connectToDatabase(members[index % members.length]!),
    );
    const primaryOnly = await runLoop(
      share,
      READ,
      () => trial.connectToDatabase(members[0]!),
      CONNECTIONS / members.length,
    );
    const proxies = await runLoop(share, `/* wisterialift kind=lookup */ ${READ}`, (index) =>
      trial.connectToProxy(trial.proxies[index % trial.proxies.length]!, group),
    );
    return { direct, primaryOnly, proxies, ratioToDirect: proxies / direct };
  } finally {
    await Promise.all(
      members.map((member) =>
        member.changeFaults({ serviceMilliseconds: trial.options.serviceMilliseconds }),
      ),
    );
  }
}

/** Runs a statement on every connection in a closed loop; gives statements a second. */
async function runLoop(
  milliseconds: number,
  sql: string,
  open: (index: number) => Promise<Connection>,
  count = CONNECTIONS,
): Promise<number> {
  const indices = Array.from({ length: Math.floor(count) }, (_, index) => index);
  const connections = await Promise.all(indices.map(open));
  let completed = 0;
  const started = performance.now();
  try {
    await Promise.all(
      connections.map((connection) =>
        repeatFor(milliseconds, async () => {
          await connection.query(sql, ['absent']);
          completed += 1;
        }),
      ),
    );
    return (completed * 1_000) / (performance.now() - started);
  } finally {
    connections.forEach((connection) => connection.destroy());
  }
}
