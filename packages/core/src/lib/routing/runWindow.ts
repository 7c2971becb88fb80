/** One run of a statement at a member. */
export interface RecordedRun {
  memberId: string;
  /** Number of the statement, the same for all of its runs. */
  statement: number;
  /** When the outcome was known, in milliseconds. */
  at: number;
  hasFailed: boolean;
  /** Whether the statement failed at another member too, so that no member is at fault. */
  isExcused: boolean;
  /** Whether the statement has run at another member as well, whatever its outcome there. */
  isCompared: boolean;
}

/** @public */
export interface RunCounts {
  runs: number;
  failures: number;
}

/** Counts of the last ten seconds, in buckets of one second. */
export interface RecentCounts {
  add: (at: number, counts: RunCounts) => void;
  sum: (now: number) => RunCounts;
  clear: () => void;
}

/** The latest runs at one member, and the counts of those before them. */
export interface RunWindow {
  add: (run: RecordedRun) => void;
  /** Returns the runs of the window that ended at `since` or later, oldest first. */
  list: (now: number, since?: number) => RecordedRun[];
  /** Counts the runs of the ten seconds before the window. */
  countPreceding: (now: number) => RunCounts;
  /** Drops all runs and counts. */
  clear: () => void;
}

/** The window covers this time or this number of runs, whichever has more runs. */
const WINDOW_MILLISECONDS = 400;
const WINDOW_RUNS = 8;

const BUCKET_MILLISECONDS = 1_000;
const BUCKETS = 10;

/** Age beyond which a run gives no information about the present state of its member. */
export const COMPARISON_MILLISECONDS = BUCKETS * BUCKET_MILLISECONDS;

export function computeFailureRate({ runs, failures }: RunCounts): number {
  return runs === 0 ? 0 : failures / runs;
}

export function addCounts(counts: readonly RunCounts[]): RunCounts {
  return {
    runs: counts.reduce((sum, { runs }) => sum + runs, 0),
    failures: counts.reduce((sum, { failures }) => sum + failures, 0),
  };
}

export function createRecentCounts(): RecentCounts {
  const buckets = new Map<number, RunCounts>();

  function dropOld(now: number): void {
    const oldest = Math.floor((now - COMPARISON_MILLISECONDS) / BUCKET_MILLISECONDS);
    for (const second of buckets.keys()) if (second <= oldest) buckets.delete(second);
  }

  return {
    add: (at, counts) => {
      dropOld(at);
      const second = Math.floor(at / BUCKET_MILLISECONDS);
      buckets.set(second, addCounts([buckets.get(second) ?? { runs: 0, failures: 0 }, counts]));
    },
    sum: (now) => {
      dropOld(now);
      return addCounts([...buckets.values()]);
    },
    clear: () => buckets.clear(),
  };
}

/** @param onLeft - called for each run that is no longer part of the window. */
export function createRunWindow(onLeft: (run: RecordedRun) => void): RunWindow {
  const runs: RecordedRun[] = [];
  const preceding = createRecentCounts();

  function isOutdated({ at }: RecordedRun, now: number): boolean {
    if (at < now - COMPARISON_MILLISECONDS) return true;
    return runs.length > WINDOW_RUNS && at < now - WINDOW_MILLISECONDS;
  }

  function dropOutdated(now: number): void {
    while (runs[0] && isOutdated(runs[0], now)) {
      const run = runs.shift()!;
      if (!run.isExcused) preceding.add(run.at, { runs: 1, failures: run.hasFailed ? 1 : 0 });
      onLeft(run);
    }
  }

  return {
    add: (run) => {
      runs.push(run);
      dropOutdated(run.at);
    },
    list: (now, since = -Infinity) => {
      dropOutdated(now);
      return runs.filter(({ at }) => at >= since);
    },
    countPreceding: (now) => {
      dropOutdated(now);
      return preceding.sum(now);
    },
    clear: () => {
      runs.splice(0).forEach(onLeft);
      preceding.clear();
    },
  };
}
