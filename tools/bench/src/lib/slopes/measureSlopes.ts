import { randomUUID } from 'node:crypto';
import type { Connection } from 'mysql2/promise';
import { requestJson } from '../cluster/requestJson';
import { startTrial } from '../cluster/startTrial';
import type { Trial } from '../cluster/startTrial';
import type { TrialProxy } from '../cluster/startProxy';
import type { TrialOptions } from '../cluster/trialOptions';
import { pause } from '../load/timings';
import { readUsage } from './readUsage';

/** What a proxy's control work costs at one point. */
export interface SlopePoint {
  x: number;
  /** Share of one core, in per cent. */
  processorPercent: number;
  bytesPerSecond: number;
  /** Calls of all proxies together. */
  platformCallsPerSecond: number;
  residentMegabytes: number;
}

/** The points of one dimension. */
export interface SlopeSeries {
  dimension: string;
  points: SlopePoint[];
}

interface Dimension {
  name: string;
  values: number[];
  trial: (value: number) => Partial<TrialOptions>;
  /** Brings the trial to the point; what it gives ends what goes on meanwhile. */
  prepare: (trial: Trial, value: number) => Promise<() => Promise<void>>;
}

const SETTLE_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 6_000;
const BASE = { proxies: 1, groups: ['group-1'], connectMilliseconds: 0 };

const nothing = (): Promise<void> => Promise.resolve();

const DIMENSIONS: Dimension[] = [
  {
    name: 'instances',
    values: [2, 4, 7, 10],
    trial: (proxies) => ({ ...BASE, proxies }),
    prepare: async () => nothing,
  },
  {
    name: 'groups',
    values: [1, 2, 4, 6],
    trial: (count) => ({
      ...BASE,
      groups: Array.from({ length: count }, (_, index) => `group-${index + 1}`),
    }),
    prepare: async () => nothing,
  },
  {
    name: 'connections',
    values: [0, 100, 200, 400],
    trial: () => BASE,
    prepare: async (trial, count) => {
      const connections = await openConnections(trial, count);
      return async () => connections.forEach((connection) => connection.destroy());
    },
  },
  {
    name: 'sessions reading once a second',
    values: [0, 50, 100, 200],
    trial: () => BASE,
    prepare: async (trial, count) => {
      const connections = await openConnections(trial, count);
      const timers = connections.map((connection, index) => startReading(connection, index));
      return async () => {
        timers.forEach(clearInterval);
        connections.forEach((connection) => connection.destroy());
      };
    },
  },
  {
    name: 'configuration changes a second',
    values: [0, 1, 2, 4],
    trial: () => ({ ...BASE, proxies: 2 }),
    prepare: async (trial, rate) => startPatching(trial.proxies[0]!, rate),
  },
];

/** Measures the control work of the first proxy along every dimension. */
export async function measureSlopes(onPoint: (text: string) => void): Promise<SlopeSeries[]> {
  const series: SlopeSeries[] = [];
  for (const dimension of DIMENSIONS) {
    const points: SlopePoint[] = [];
    for (const value of dimension.values) {
      onPoint(`${dimension.name} ${value}`);
      points.push(await measurePoint(dimension, value));
    }
    series.push({ dimension: dimension.name, points });
  }
  return series;
}

async function measurePoint(dimension: Dimension, x: number): Promise<SlopePoint> {
  const trial = await startTrial(dimension.trial(x));
  try {
    const end = await dimension.prepare(trial, x);
    await pause(SETTLE_MILLISECONDS);
    const point = await measureWindow(trial);
    await end();
    return { x, ...point };
  } finally {
    await trial.stop();
  }
}

async function measureWindow(trial: Trial): Promise<Omit<SlopePoint, 'x'>> {
  const { pid } = trial.proxies[0]!.program();
  const callsBefore = await countCalls(trial);
  const before = readUsage(pid);
  const started = performance.now();
  await pause(WINDOW_MILLISECONDS);
  const after = readUsage(pid);
  const milliseconds = performance.now() - started;
  const calls = (await countCalls(trial)) - callsBefore;
  const processor = after.processorMilliseconds - before.processorMilliseconds;
  return {
    processorPercent: (processor * 100) / milliseconds,
    bytesPerSecond: ((after.transferredBytes - before.transferredBytes) * 1_000) / milliseconds,
    platformCallsPerSecond: (calls * 1_000) / milliseconds,
    residentMegabytes: after.residentMegabytes,
  };
}

async function countCalls(trial: Trial): Promise<number> {
  const calls = await trial.platform.readCalls();
  return Object.values(calls).reduce((sum, count) => sum + count, 0);
}

const OPENED_AT_ONCE = 20;

async function openConnections(trial: Trial, count: number): Promise<Connection[]> {
  const [proxy] = trial.proxies;
  const [group = ''] = trial.options.groups;
  const connections: Connection[] = [];
  while (connections.length < count) {
    const next = Math.min(OPENED_AT_ONCE, count - connections.length);
    connections.push(
      ...(await Promise.all(
        Array.from({ length: next }, () => trial.connectToProxy(proxy!, group)),
      )),
    );
  }
  return connections;
}

const READ_INTERVAL_MILLISECONDS = 1_000;

function startReading(connection: Connection, index: number): NodeJS.Timeout {
  const read = (): void => {
    void connection
      .query('/* wisterialift kind=history */ SELECT id FROM records WHERE session = ?', [
        `session-${index}`,
      ])
      .catch(() => undefined);
  };
  return setInterval(read, READ_INTERVAL_MILLISECONDS);
}

/** Submits patches at a rate, one after the other; gives what stops it. */
function startPatching(proxy: TrialProxy, rate: number): () => Promise<void> {
  if (rate === 0) return nothing;
  let isStopped = false;
  const loop = (async () => {
    for (let count = 0; !isStopped; count += 1) {
      const started = performance.now();
      await submitPatch(proxy, count).catch(() => undefined);
      await pause(Math.max(0, 1_000 / rate - (performance.now() - started)));
    }
  })();
  return async () => {
    isStopped = true;
    await loop;
  };
}

async function submitPatch(proxy: TrialProxy, count: number): Promise<void> {
  const address = `http://127.0.0.1:${proxy.administrationPort}/v1/configuration`;
  const headers = { authorization: `Bearer ${proxy.administrationToken}` };
  const { number } = await requestJson<{ number: number }>(address, { headers });
  await requestJson(`${address}/patches`, {
    method: 'POST',
    headers,
    body: {
      patchId: randomUUID(),
      againstNumber: number,
      author: 'bench',
      changes: { kinds: { lookup: { maximumStalenessMilliseconds: 10_000 + count } } },
    },
  });
}
