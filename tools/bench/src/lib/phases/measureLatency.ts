import type { RowDataPacket } from 'mysql2/promise';
import type { Trial } from '../cluster/startTrial';
import type { Oracle } from '../load/createOracle';
import { createTimings, repeatFor, timed } from '../load/timings';
import type { Timings } from '../load/timings';

/** Latency of one statement by way of a proxy and directly. */
export interface LatencyComparison {
  statement: string;
  directP50: number;
  proxyP50: number;
  proxyP99: number;
  addedP50: number;
}

/** What the latency phase gives. */
export interface LatencyResult {
  /** A read of stated age: no floor round, so no confirmation. */
  lookup: LatencyComparison;
  /** A read that sees the session's own writes. */
  history: LatencyComparison;
  /** A write; the direct one is not confirmed by a majority. */
  write: LatencyComparison;
}

const READ = 'SELECT note FROM records WHERE id = ?';
const WRITE = 'INSERT INTO records (id, session, note) VALUES (?, ?, ?)';

/** Compares statements one after the other, direct and by way of a proxy in turn. */
export async function measureLatency(
  trial: Trial,
  options: { group: string; milliseconds: number; oracle: Oracle },
): Promise<LatencyResult> {
  const { group, milliseconds, oracle } = options;
  const [proxy] = trial.proxies;
  const [primary] = trial.databasesOf(group);
  if (!proxy || !primary) throw new Error('a trial without proxy or database');
  // The proxy reads from the member of its data centre if it can, so the direct read does too.
  const nearest =
    trial.databasesOf(group).find(({ dataCentre }) => dataCentre === proxy.dataCentre) ?? primary;
  const throughProxy = await trial.connectToProxy(proxy, group);
  const directRead = await trial.connectToDatabase(nearest, proxy.dataCentre);
  const directWrite = await trial.connectToDatabase(primary, proxy.dataCentre);
  let written = 0;
  const nextRow = (prefix: string): string[] => {
    written += 1;
    return [`${prefix}-${written}`, prefix, 'latency'];
  };
  const share = milliseconds / 3;
  try {
    const lookup = await compare('lookup read', share, {
      direct: () => directRead.query<RowDataPacket[]>(READ, ['absent']),
      proxy: () => throughProxy.query(`/* wisterialift kind=lookup */ ${READ}`, ['absent']),
    });
    const history = await compare('history read', share, {
      direct: () => directRead.query<RowDataPacket[]>(READ, ['absent']),
      proxy: () => throughProxy.query(`/* wisterialift kind=history */ ${READ}`, ['absent']),
    });
    const write = await compare('write', share, {
      direct: () => directWrite.query(WRITE, nextRow('direct')),
      proxy: async () => {
        const row = nextRow('latency');
        await throughProxy.query(WRITE, row);
        oracle.recordWrite({ group, id: row[0] ?? '', outcome: 'acknowledged' });
      },
    });
    return { lookup, history, write };
  } finally {
    [throughProxy, directRead, directWrite].forEach((connection) => connection.destroy());
  }
}

/** Statements before the first one that counts, in each way. */
const WARM_UP_STATEMENTS = 100;

async function compare(
  statement: string,
  milliseconds: number,
  ways: { direct: () => Promise<unknown>; proxy: () => Promise<unknown> },
): Promise<LatencyComparison> {
  for (let count = 0; count < WARM_UP_STATEMENTS; count += 1) {
    await ways.direct();
    await ways.proxy();
  }
  const direct = createTimings();
  const proxy = createTimings();
  await repeatFor(milliseconds, async () => {
    await timed(direct, ways.direct);
    await timed(proxy, ways.proxy);
  });
  return summarise(statement, direct, proxy);
}

function summarise(statement: string, direct: Timings, proxy: Timings): LatencyComparison {
  const directP50 = direct.percentile(50);
  const proxyP50 = proxy.percentile(50);
  return {
    statement,
    directP50,
    proxyP50,
    proxyP99: proxy.percentile(99),
    addedP50: proxyP50 - directP50,
  };
}
