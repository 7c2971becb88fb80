import type { Connection } from 'mysql2/promise';
import type { Trial } from '../cluster/startTrial';
import { createTimings, pause } from '../load/timings';

/** What came of the offered requests at one rate. */
export interface LoadLevel {
  /** Requests a second. */
  offered: number;
  /** Answers within the deadline a second. */
  goodput: number;
  refused: number;
  late: number;
  refusalP99: number;
}

/** What the overload phase gives. */
export interface OverloadResult {
  atCapacity: LoadLevel;
  atTwice: LoadLevel;
  /** Goodput at twice the capacity over goodput at capacity. */
  goodputRatio: number;
}

const READ = '/* wisterialift kind=urgent */ SELECT note FROM records WHERE id = ?';
const CONNECTIONS_PER_PROXY = 80;
/** Proxies learn the new time of a statement before they use every slot again. */
const SETTLE_MILLISECONDS = 1_700;
/** Slices of each rate in turn, so that a machine that is busy at times is so for both. */
const SLICES = 2;
const TICK_MILLISECONDS = 5;

/** Offers requests at fixed rates, whether or not earlier ones were answered. */
export async function measureOverload(
  trial: Trial,
  options: { group: string; milliseconds: number; serviceMilliseconds: number },
): Promise<OverloadResult> {
  const { group, milliseconds, serviceMilliseconds } = options;
  const members = trial.databasesOf(group);
  const deadline = trial.options.kinds.urgent?.deadlineMilliseconds ?? 300;
  const capacity = (members.length * trial.options.slots * 1_000) / serviceMilliseconds;
  await Promise.all(members.map((member) => member.changeFaults({ serviceMilliseconds })));
  const connections = await openConnections(trial, group);
  const offer = (rate: number, time: number): Promise<LoadLevel> =>
    offerLoad({ connections, rate, milliseconds: time, deadline });
  try {
    await offer(capacity, SETTLE_MILLISECONDS);
    const single: LoadLevel[] = [];
    const twice: LoadLevel[] = [];
    for (let slice = 0; slice < SLICES; slice += 1) {
      single.push(await offer(capacity, milliseconds / 2 / SLICES));
      twice.push(await offer(capacity * 2, milliseconds / 2 / SLICES));
    }
    const atCapacity = combine(single);
    const atTwice = combine(twice);
    return { atCapacity, atTwice, goodputRatio: atTwice.goodput / atCapacity.goodput };
  } finally {
    connections.forEach((connection) => connection.destroy());
    await Promise.all(
      members.map((member) =>
        member.changeFaults({ serviceMilliseconds: trial.options.serviceMilliseconds }),
      ),
    );
  }
}

/** Takes slices of equal length together. */
function combine(slices: readonly LoadLevel[]): LoadLevel {
  const sum = (value: (level: LoadLevel) => number): number =>
    slices.reduce((total, level) => total + value(level), 0);
  return {
    offered: sum(({ offered }) => offered) / slices.length,
    goodput: sum(({ goodput }) => goodput) / slices.length,
    refused: sum(({ refused }) => refused),
    late: sum(({ late }) => late),
    refusalP99: Math.max(...slices.map(({ refusalP99 }) => refusalP99)),
  };
}

async function openConnections(trial: Trial, group: string): Promise<Connection[]> {
  const connections: Connection[] = [];
  for (let count = 0; count < CONNECTIONS_PER_PROXY; count += 1) {
    connections.push(
      ...(await Promise.all(trial.proxies.map((proxy) => trial.connectToProxy(proxy, group)))),
    );
  }
  return connections;
}

interface OfferOptions {
  connections: Connection[];
  rate: number;
  milliseconds: number;
  deadline: number;
}

async function offerLoad(options: OfferOptions): Promise<LoadLevel> {
  const { connections, rate, milliseconds, deadline } = options;
  const idle = [...connections];
  const counts = { good: 0, late: 0, refused: 0 };
  const refusals = createTimings();
  const running = new Set<Promise<void>>();
  const started = performance.now();
  let offered = 0;

  async function request(connection: Connection): Promise<void> {
    const sentAt = performance.now();
    try {
      await connection.query(READ, ['absent']);
      if (performance.now() - sentAt <= deadline) counts.good += 1;
      else counts.late += 1;
    } catch {
      counts.refused += 1;
      refusals.record(performance.now() - sentAt);
    }
    idle.push(connection);
  }

  while (performance.now() - started < milliseconds) {
    const due = Math.floor(((performance.now() - started) * rate) / 1_000);
    for (; offered < due; offered += 1) {
      const connection = idle.shift();
      // Every connection waits: the request counts as offered and as not answered in time.
      if (!connection) counts.late += 1;
      else {
        const answered = request(connection);
        running.add(answered);
        void answered.then(() => running.delete(answered));
      }
    }
    await pause(TICK_MILLISECONDS);
  }
  const seconds = (performance.now() - started) / 1_000;
  await Promise.all(running);
  return {
    offered: offered / seconds,
    goodput: counts.good / seconds,
    refused: counts.refused,
    late: counts.late,
    refusalP99: refusals.count() === 0 ? 0 : refusals.percentile(99),
  };
}
