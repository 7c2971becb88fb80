import type { Trial, TrialProxy } from '@wisterialift/bench';
import type { Connection, RowDataPacket } from 'mysql2/promise';

/** What a caller was told about one write. */
export type WriteVerdict = 'done' | 'notRun' | 'unknown' | 'discarded';

/** One write of the workload. */
export interface RecordedWrite {
  id: string;
  verdict: WriteVerdict;
}

/** What the workload saw. */
export interface WorkloadReport {
  writes: RecordedWrite[];
  /** Acknowledged records that a later read of the same session did not show. */
  missedReads: string[];
  reads: number;
  failedReads: number;
}

/** Callers that write and read in roaming sessions until they are stopped. */
export interface Workload {
  /** Resolves when so many writes were acknowledged since the call. */
  waitForAcknowledged: (count: number) => Promise<void>;
  stop: () => Promise<WorkloadReport>;
}

/** The connection was never opened, so the statement was never sent. */
class NeverSentError extends Error {}

const NOT_RUN = 9101;
const DISCARDED = 9103;
const PAUSE_AFTER_FAILURE_MILLISECONDS = 20;
const POLL_MILLISECONDS = 20;

/**
 * Starts sessions that each write a record through one proxy and read it back through another one,
 * without a token.
 */
export function startWorkload(options: {
  trial: Trial;
  group: string;
  sessions: number;
  proxies: readonly TrialProxy[];
}): Workload {
  const { trial, group, sessions, proxies } = options;
  const report: WorkloadReport = { writes: [], missedReads: [], reads: 0, failedReads: 0 };
  let isStopping = false;
  const ended = Array.from({ length: sessions }, (_, session) => runSession(session));

  async function runSession(session: number): Promise<void> {
    for (let turn = 0; !isStopping; turn += 1) {
      const writer = proxies[(session + turn) % proxies.length] as TrialProxy;
      const reader = proxies[(session + turn + 1) % proxies.length] as TrialProxy;
      const id = `s${session}-${turn}`;
      const verdict = await writeOnce(writer, id);
      if (verdict === 'done') await readBack(reader, id);
      else await pause(PAUSE_AFTER_FAILURE_MILLISECONDS);
    }
  }

  async function writeOnce(proxy: TrialProxy, id: string): Promise<WriteVerdict> {
    const verdict = await withConnection(proxy, (connection) =>
      connection.query('INSERT INTO records (id, session, note) VALUES (?, ?, ?)', [id, id, 'x']),
    ).then(() => 'done' as const, toVerdict);
    report.writes.push({ id, verdict });
    return verdict;
  }

  async function readBack(proxy: TrialProxy, id: string): Promise<void> {
    try {
      const [rows] = await withConnection(proxy, (connection) =>
        connection.query<RowDataPacket[]>('SELECT id FROM records WHERE id = ?', [id]),
      );
      report.reads += 1;
      if (rows.length !== 1) report.missedReads.push(id);
    } catch {
      report.failedReads += 1;
    }
  }

  async function withConnection<Result>(
    proxy: TrialProxy,
    use: (connection: Connection) => Promise<Result>,
  ): Promise<Result> {
    const connection = await trial.connectToProxy(proxy, group).catch(() => {
      throw new NeverSentError();
    });
    try {
      return await use(connection);
    } finally {
      connection.destroy();
    }
  }

  function countAcknowledged(): number {
    return report.writes.filter(({ verdict }) => verdict === 'done').length;
  }

  async function waitForAcknowledged(count: number): Promise<void> {
    const goal = countAcknowledged() + count;
    await waitUntil('writes are acknowledged', async () => countAcknowledged() >= goal);
  }

  async function stop(): Promise<WorkloadReport> {
    isStopping = true;
    await Promise.all(ended);
    return report;
  }

  return { waitForAcknowledged, stop };
}

const VERDICT_BY_NUMBER: Record<number, WriteVerdict> = {
  [NOT_RUN]: 'notRun',
  [DISCARDED]: 'discarded',
};

/** A caller that was told nothing knows nothing: a broken connection is an unknown outcome. */
function toVerdict(error: unknown): WriteVerdict {
  if (error instanceof NeverSentError) return 'notRun';
  return VERDICT_BY_NUMBER[(error as { errno?: number }).errno ?? 0] ?? 'unknown';
}

/** Longest time that a test waits for a condition; generous, as machines differ. */
const PATIENCE_MILLISECONDS = 60_000;

/** Waits until the condition holds; fails by its name. */
export async function waitUntil(name: string, condition: () => Promise<boolean>): Promise<void> {
  const giveUpAt = performance.now() + PATIENCE_MILLISECONDS;
  while (!(await condition())) {
    if (performance.now() > giveUpAt) throw new Error(`waited in vain until ${name}`);
    await pause(POLL_MILLISECONDS);
  }
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** What broke the promise, by name; empty when it was kept. */
export interface BrokenPromises {
  lost: string[];
  doubled: string[];
  ranAfterNotRun: string[];
  missedReads: string[];
}

/** Compares what callers were told with the rows that the group holds once it has healed. */
export async function findBrokenPromises(options: {
  trial: Trial;
  group: string;
  report: WorkloadReport;
}): Promise<BrokenPromises> {
  const { trial, group, report } = options;
  const rows = await readAllRows(trial, group);
  const counts = new Map<string, number>();
  rows.forEach(({ id }) => counts.set(id, (counts.get(id) ?? 0) + 1));
  const idsOf = (...verdicts: WriteVerdict[]): string[] =>
    report.writes.filter(({ verdict }) => verdicts.includes(verdict)).map(({ id }) => id);
  return {
    lost: idsOf('done').filter((id) => !counts.has(id)),
    doubled: [...counts].filter(([, count]) => count > 1).map(([id]) => id),
    ranAfterNotRun: idsOf('notRun', 'discarded').filter((id) => counts.has(id)),
    missedReads: report.missedReads,
  };
}

async function readAllRows(trial: Trial, group: string): Promise<{ id: string }[]> {
  const primary = await trial.findPrimary(group);
  if (!primary) throw new Error('the group has no primary');
  return primary.readRows<{ id: string }>('SELECT id FROM records');
}

/** The promise as it looks when it was kept. */
export const KEPT: BrokenPromises = { lost: [], doubled: [], ranAfterNotRun: [], missedReads: [] };
