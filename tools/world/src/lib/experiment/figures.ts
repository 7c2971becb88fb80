import type { Outcome } from '../callers/load';
import type { Experiment } from './experimentSchema';
import { roundTo, SHARE_PLACES } from './roundTo';

/** What callers got in one window of two seconds. @public */
export interface WindowFigures {
  fromSecond: number;
  asked: number;
  inGoal: number;
  late: number;
  refused: number;
  failed: number;
  /** Worth earned of what was owed. */
  credit: number;
}

/** What callers got in one run. @public */
export interface CallerFigures {
  asked: number;
  /** Operations of teams beyond their limits or without keys, which count in no other figure. */
  notOwed: number;
  credit: number;
  worstWindows: number;
  worstKind: number;
  /** The three above by the weights of `WEIGHTS`. */
  worth: number;
  inGoal: number;
  late: number;
  refused: number;
  failed: number;
  /** Mean number of refused attempts of the operations that ended refused. */
  refusedAttempts: number;
  medianMilliseconds: number;
  p99Milliseconds: number;
  windows: WindowFigures[];
}

const WINDOW_SECONDS = 2;

/** The two worst windows count half, as a spell without service does for callers. */
const WEIGHTS = { windows: 0.5, mean: 0.35, kind: 0.15 };
const COUNTED_WINDOWS = 2;

/** A window in which less is asked than this part of the mean says nothing. */
const LEAST_WINDOW_SHARE = 0.5;

/** @internal */
export function computeFigures(experiment: Experiment, all: readonly Outcome[]): CallerFigures {
  const outcomes = all.filter(({ isOwed }) => isOwed);
  const windows = computeWindows(experiment, outcomes);
  const times = outcomes
    .filter(({ type }) => type === 'inGoal' || type === 'late')
    .map(({ milliseconds }) => milliseconds)
    .sort((left, right) => left - right);
  const credit = creditOf(outcomes);
  const worstWindows = meanOfWorst(windows);
  const kinds = experiment.kinds.map((kind) =>
    creditOf(outcomes.filter((outcome) => outcome.kind === kind)),
  );
  const worstKind = Math.min(...kinds);
  const worth = WEIGHTS.windows * worstWindows + WEIGHTS.mean * credit + WEIGHTS.kind * worstKind;
  return {
    asked: outcomes.length,
    notOwed: all.length - outcomes.length,
    credit: roundTo(credit, SHARE_PLACES),
    worstWindows: roundTo(worstWindows, SHARE_PLACES),
    worstKind: roundTo(worstKind, SHARE_PLACES),
    worth: roundTo(worth, SHARE_PLACES),
    ...countTypes(outcomes),
    refusedAttempts: roundTo(meanRefusedAttempts(outcomes), SHARE_PLACES),
    medianMilliseconds: Math.round(quantile(times, 0.5)),
    p99Milliseconds: Math.round(quantile(times, 0.99)),
    windows,
  };
}

function computeWindows(experiment: Experiment, outcomes: readonly Outcome[]): WindowFigures[] {
  const count = Math.ceil(experiment.seconds / WINDOW_SECONDS);
  const byWindow = Array.from({ length: count }, (): Outcome[] => []);
  for (const outcome of outcomes) {
    byWindow[Math.floor(outcome.askedAt / 1_000 / WINDOW_SECONDS)]?.push(outcome);
  }
  return byWindow.map((list, index) => ({
    fromSecond: index * WINDOW_SECONDS,
    asked: list.length,
    ...countTypes(list),
    credit: roundTo(creditOf(list), SHARE_PLACES),
  }));
}

function countTypes(outcomes: readonly Outcome[]): Record<Outcome['type'], number> {
  const counts = { inGoal: 0, late: 0, refused: 0, failed: 0 };
  for (const { type } of outcomes) counts[type] += 1;
  return counts;
}

function meanRefusedAttempts(outcomes: readonly Outcome[]): number {
  const refused = outcomes.filter(({ type }) => type === 'refused');
  const attempts = refused.reduce((sum, outcome) => sum + outcome.refusedAttempts, 0);
  return attempts / Math.max(1, refused.length);
}

function creditOf(outcomes: readonly Outcome[]): number {
  let owed = 0;
  let earned = 0;
  for (const { kind, type } of outcomes) {
    owed += kind.worth;
    if (type === 'inGoal') earned += kind.worth;
    if (type === 'late') earned += kind.lateWorth;
  }
  return owed === 0 ? 1 : earned / owed;
}

function meanOfWorst(windows: readonly WindowFigures[]): number {
  const mean = windows.reduce((sum, { asked }) => sum + asked, 0) / Math.max(1, windows.length);
  const credits = windows
    .filter(({ asked }) => asked >= mean * LEAST_WINDOW_SHARE)
    .map(({ credit }) => credit)
    .sort((left, right) => left - right)
    .slice(0, COUNTED_WINDOWS);
  return credits.reduce((sum, credit) => sum + credit, 0) / Math.max(1, credits.length);
}

function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}
