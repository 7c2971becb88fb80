import type { TrialDatabase } from '../cluster/startDatabase';
import type { Trial } from '../cluster/startTrial';
import type { TrialProxy } from '../cluster/startProxy';
import { findErrorMeaning } from '../load/callerError';
import type { Oracle } from '../load/createOracle';
import { createReconnecting } from '../load/createReconnecting';
import { createTimings, pause, waitUntil } from '../load/measure';

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
const RETRY_MILLISECONDS = 10;
const WRITER_TIMEOUT_MILLISECONDS = 8_000;
const REJOIN_TIMEOUT_MILLISECONDS = 5_000;
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

/** Lets primaries fail while one writer at each proxy goes on writing. */
export async function measureFailover(
  trial: Trial,
  options: FailoverOptions,
): Promise<FailoverResult> {
  const timings = createTimings();
  const result: Pick<FailoverResult, 'rounds' | 'unfinished' | 'longestByFault'> = {
    rounds: 0,
    unfinished: 0,
    longestByFault: {},
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
        const gaps = await runRound(trial, { group, fault, round, oracle: options.oracle });
        gaps.forEach((gap) => {
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

interface RoundOptions {
  group: string;
  fault: PrimaryFault;
  round: number;
  oracle: Oracle;
}

async function runRound(
  trial: Trial,
  { group, fault, round, oracle }: RoundOptions,
): Promise<(number | undefined)[]> {
  const primary = await trial.findPrimary(group);
  if (!primary) throw new Error(`group ${group} has no primary`);
  const moment = { failedAt: Infinity };
  const writers = trial.proxies.map((proxy) =>
    runWriter(trial, { proxy, group, oracle, moment, run: `failover-${round}-${proxy.name}` }),
  );
  await pause(LEAD_MILLISECONDS);
  moment.failedAt = performance.now();
  await ACTIONS[fault].begin(primary);
  const gaps = await Promise.all(writers);
  await ACTIONS[fault].end(primary);
  await waitUntil(() => hasRejoined(trial, group, primary), REJOIN_TIMEOUT_MILLISECONDS);
  return gaps;
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

/** Writes until a write that was sent after the fault is acknowledged; gives the gap. */
async function runWriter(trial: Trial, options: WriterOptions): Promise<number | undefined> {
  const { proxy, group, oracle, moment, run } = options;
  const connection = createReconnecting(() => trial.connectToProxy(proxy, group));
  try {
    for (let count = 0; !isOver(moment.failedAt); count += 1) {
      const id = `${run}-${count}`;
      const sentAt = performance.now();
      try {
        await connection.use((open) => open.query(WRITE, [id, run, 'test']));
        oracle.recordWrite({ group, id, outcome: 'acknowledged' });
        if (sentAt > moment.failedAt) return performance.now() - moment.failedAt;
      } catch (error) {
        oracle.recordWrite({ group, id, outcome: findErrorMeaning(error) });
      }
      await pause(RETRY_MILLISECONDS);
    }
    return undefined;
  } finally {
    connection.close();
  }
}

function isOver(failedAt: number): boolean {
  return performance.now() > failedAt + WRITER_TIMEOUT_MILLISECONDS;
}
