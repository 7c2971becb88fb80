import { randomUUID } from 'node:crypto';
import type { Connection } from 'mysql2/promise';
import type { TrialDatabase } from '../cluster/startDatabase';
import type { Trial } from '../cluster/startTrial';
import type { TrialProxy } from '../cluster/startProxy';
import { findErrorMeaning } from '../load/callerError';
import type { Oracle } from '../load/createOracle';
import { createReconnecting } from '../load/createReconnecting';
import type { ReconnectingConnection } from '../load/createReconnecting';
import { createTimings, pause, waitUntil } from '../load/timings';

/** How a primary is made to fail. */
export type PrimaryFault = 'killed' | 'frozen' | 'cutFromGroup';

/** What the failover phase gives. */
export interface FailoverResult {
  /** Times from the fault to the first write that was sent after it and acknowledged. */
  gapP50: number | null;
  gapP99: number | null;
  gaps: number;
  rounds: number;
  /** Writers that got no write through in time. */
  unfinished: number;
  /** Longest gap after each kind of fault. */
  longestByFault: Partial<Record<PrimaryFault, number>>;
  /** Writes in flight that had no answer a second after the group took writes again. */
  unanswered: Partial<Record<PrimaryFault, number>>;
  /** Baseline: writes that a cut primary acknowledged to clients past the proxies, and that are gone. */
  unconfirmed: { acknowledged: number; lost: number };
}

/** How often and how the primaries fail. */
export interface FailoverOptions {
  groups: string[];
  faults: PrimaryFault[];
  /** Rounds for each group at most. */
  rounds: number;
  /** No round begins after this time on `performance.now()`. */
  startNoneAfter: number;
  oracle: Oracle;
}

const WRITE = 'INSERT INTO records (id, session, note) VALUES (?, ?, ?)';
const WRITE_INTERVAL_MILLISECONDS = 20;
const UNCONFIRMED_WRITES = 5;
const CONNECTIONS_PER_WRITER = 100;
/** Time that writes in flight get after the group takes writes again. */
const ANSWER_WAIT_MILLISECONDS = 1_000;
const WRITER_TIMEOUT_MILLISECONDS = 8_000;
const REJOIN_TIMEOUT_MILLISECONDS = 3_000;
/** Time that writers run before the fault. */
const LEAD_MILLISECONDS = 300;

const ACTIONS: Record<
  PrimaryFault,
  {
    begin: (primary: TrialDatabase) => Promise<void>;
    end: (primary: TrialDatabase) => Promise<void>;
  }
> = {
  killed: {
    begin: (primary) => primary.program().kill(),
    end: (primary) => primary.restart(),
  },
  frozen: {
    begin: async (primary) => primary.program().freeze(),
    end: async (primary) => primary.program().thaw(),
  },
  cutFromGroup: {
    begin: (primary) => primary.changeFaults({ cutFromGroup: true }),
    end: (primary) => primary.changeFaults({ cutFromGroup: false }),
  },
};

/** Lets primaries fail while a writer at each proxy goes on sending writes. */
export async function measureFailover(
  trial: Trial,
  options: FailoverOptions,
): Promise<FailoverResult> {
  const timings = createTimings();
  const result: Omit<FailoverResult, 'gaps' | 'gapP50' | 'gapP99'> = {
    rounds: 0,
    unfinished: 0,
    longestByFault: {},
    unanswered: {},
    unconfirmed: { acknowledged: 0, lost: 0 },
  };
  const recordGap = (fault: PrimaryFault, gap: number): void => {
    timings.record(gap);
    result.longestByFault[fault] = Math.max(result.longestByFault[fault] ?? 0, Math.round(gap));
  };
  await Promise.all(
    options.groups.map(async (group, groupIndex) => {
      for (let round = 0; round < options.rounds; round += 1) {
        if (performance.now() > options.startNoneAfter) return;
        const fault = options.faults[(round + groupIndex) % options.faults.length] ?? 'killed';
        const { writers, unconfirmed } = await runRound(trial, {
          group,
          fault,
          round,
          oracle: options.oracle,
        });
        result.unconfirmed.acknowledged += unconfirmed.acknowledged;
        result.unconfirmed.lost += unconfirmed.lost;
        writers.forEach(({ gap, unanswered }) => {
          result.unanswered[fault] = (result.unanswered[fault] ?? 0) + unanswered;
          if (gap === undefined) result.unfinished += 1;
          else recordGap(fault, gap);
        });
        result.rounds += 1;
      }
    }),
  );
  const gaps = timings.count();
  return {
    ...result,
    gaps,
    gapP50: gaps === 0 ? null : timings.percentile(50),
    gapP99: gaps === 0 ? null : timings.percentile(99),
  };
}

interface RoundResult {
  writers: WriterResult[];
  unconfirmed: FailoverResult['unconfirmed'];
}

interface RoundOptions {
  group: string;
  fault: PrimaryFault;
  round: number;
  oracle: Oracle;
}

async function runRound(
  trial: Trial,
  { group, fault, round, oracle }: RoundOptions,
): Promise<RoundResult> {
  const primary = await trial.findPrimary(group);
  if (!primary) throw new Error(`group ${group} has no primary`);
  const moment = { failedAt: Infinity };
  const writers = trial.proxies.map((proxy) =>
    runWriter(trial, { proxy, group, oracle, moment, run: `failover-${round}-${proxy.name}` }),
  );
  await pause(LEAD_MILLISECONDS);
  moment.failedAt = performance.now();
  await ACTIONS[fault].begin(primary);
  const ids = fault === 'cutFromGroup' ? await writeUnconfirmed(trial, primary) : [];
  const results = await Promise.all(writers);
  await ACTIONS[fault].end(primary);
  await waitUntil(() => hasRejoined(trial, group, primary), REJOIN_TIMEOUT_MILLISECONDS);
  return {
    writers: results,
    unconfirmed: { acknowledged: ids.length, lost: await countMissing(trial, group, ids) },
  };
}

/** Writes past the proxies at a primary that is cut from its group; gives the acknowledged ids. */
async function writeUnconfirmed(trial: Trial, primary: TrialDatabase): Promise<string[]> {
  const connection = await trial.connectToDatabase(primary);
  const ids: string[] = [];
  try {
    for (let count = 0; count < UNCONFIRMED_WRITES; count += 1) {
      const id = `unconfirmed-${randomUUID()}`;
      await connection.query(WRITE, [id, 'unconfirmed', 'test']);
      ids.push(id);
    }
  } catch {
    // The primary is fenced meanwhile and refuses the rest.
  } finally {
    connection.destroy();
  }
  return ids;
}

async function countMissing(trial: Trial, group: string, ids: string[]): Promise<number> {
  if (ids.length === 0) return 0;
  const primary = await trial.findPrimary(group);
  const list = ids.map((id) => `'${id}'`).join(', ');
  const rows = await primary?.readRows(`SELECT id FROM records WHERE id IN (${list})`);
  return ids.length - (rows?.length ?? 0);
}

/** Whether a replaced primary follows the present one and holds its log. */
async function hasRejoined(trial: Trial, group: string, old: TrialDatabase): Promise<boolean> {
  const present = await trial.findPrimary(group);
  if (!present) return false;
  const { status } = await present.health();
  const { status: own } = await old.health();
  if (own.role === 'primary') return present.name === old.name;
  return own.currentTerm === status.currentTerm && own.logEnd.term === status.logEnd.term;
}

interface WriterOptions {
  proxy: TrialProxy;
  group: string;
  oracle: Oracle;
  /** When the primary failed, on `performance.now()`. */
  moment: { failedAt: number };
  run: string;
}

/** What one writer met. */
interface WriterResult {
  gap: number | undefined;
  /** Writes that were still without an answer some time after the group took writes again. */
  unanswered: number;
}

/**
 * Sends a write in each interval, whether or not earlier ones were answered, until one that was sent
 * after the fault is acknowledged.
 */
async function runWriter(trial: Trial, options: WriterOptions): Promise<WriterResult> {
  const { proxy, group, oracle, moment, run } = options;
  const open = (): Promise<Connection> => trial.connectToProxy(proxy, group);
  const idle = Array.from({ length: CONNECTIONS_PER_WRITER }, () => createReconnecting(open));
  const connections = [...idle];
  const running = new Map<string, Promise<void>>();
  let gap: number | undefined;

  async function write(id: string, connection: ReconnectingConnection): Promise<void> {
    const sentAt = performance.now();
    try {
      await connection.use((present) => present.query(WRITE, [id, run, 'test']));
      oracle.recordWrite({ group, id, outcome: 'acknowledged' });
      if (sentAt > moment.failedAt) gap ??= performance.now() - moment.failedAt;
    } catch (error) {
      oracle.recordWrite({ group, id, outcome: findErrorMeaning(error) });
    }
    running.delete(id);
    idle.push(connection);
  }

  for (let count = 0; gap === undefined && !isOver(moment.failedAt); count += 1) {
    const connection = idle.shift();
    const id = `${run}-${count}`;
    if (connection) running.set(id, write(id, connection));
    await pause(WRITE_INTERVAL_MILLISECONDS);
  }
  await Promise.race([Promise.all(running.values()), pause(ANSWER_WAIT_MILLISECONDS)]);
  // The driver leaves the statements of a closed connection without an end, so it comes from here.
  running.forEach((_, id) => oracle.recordWrite({ group, id, outcome: 'unknown' }));
  connections.forEach((connection) => connection.close());
  return { gap, unanswered: running.size };
}

function isOver(failedAt: number): boolean {
  return performance.now() > failedAt + WRITER_TIMEOUT_MILLISECONDS;
}
