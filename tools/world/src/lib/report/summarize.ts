import type { ExperimentResult } from '../experiment/runExperiment';
import { roundTo } from '../experiment/roundTo';

/** Mean and spread of one figure over the seeds of an experiment. @public */
export interface FigureSummary {
  mean: number;
  /** Standard deviation between seeds. */
  spread: number;
}

/** @public */
export type ResultSummary = Record<SummaryFigure, FigureSummary> & {
  runs: number;
  broken: number;
};

const FIGURES = {
  worth: ({ callers }: ExperimentResult) => callers.worth,
  credit: ({ callers }: ExperimentResult) => callers.credit,
  worstWindows: ({ callers }: ExperimentResult) => callers.worstWindows,
  worstKind: ({ callers }: ExperimentResult) => callers.worstKind,
  late: ({ callers }: ExperimentResult) => callers.late,
  refused: ({ callers }: ExperimentResult) => callers.refused,
  failed: ({ callers }: ExperimentResult) => callers.failed,
  refusedAttempts: ({ callers }: ExperimentResult) => callers.refusedAttempts,
  p99Milliseconds: ({ callers }: ExperimentResult) => callers.p99Milliseconds,
  replicaShare: ({ system }: ExperimentResult) => system.replicaShare,
  refusedBesideIdle: ({ system }: ExperimentResult) => system.refusedBesideIdle,
  refusedBesideIdleSlot: ({ system }: ExperimentResult) => system.refusedBesideIdleSlot,
  connectionsOpened: ({ system }: ExperimentResult) => system.connectionsOpened,
  connectionsPerStatement: ({ system }: ExperimentResult) => system.connectionsPerStatement,
  placesExhausted: ({ system }: ExperimentResult) => system.placesExhausted,
  failedStatements: ({ system }: ExperimentResult) => system.failedStatements,
  ejections: ({ system }: ExperimentResult) => system.ejections,
  repeatedReads: ({ system }: ExperimentResult) => system.repeatedReads,
  probes: ({ system }: ExperimentResult) => system.probes,
  staleReads: ({ broken }: ExperimentResult) => countBroken(broken, ['stale', 'ownWrite']),
  rolledBack: ({ broken }: ExperimentResult) => countBroken(broken, ['rolledBack']),
};

function countBroken(
  broken: ExperimentResult['broken'],
  names: ExperimentResult['broken'][number]['promise'][],
): number {
  return broken.filter(({ promise }) => names.includes(promise)).length;
}

/** @public */
export type SummaryFigure = keyof typeof FIGURES;

/** @public */
export const SUMMARY_FIGURES = Object.keys(FIGURES) as SummaryFigure[];

/** Decimal places of means and spreads. */
const FIGURE_PLACES = 4;

/** @public */
export function summarize(results: readonly ExperimentResult[]): ResultSummary {
  const entries = SUMMARY_FIGURES.map((name) => [
    name,
    summarizeFigure(results.map(FIGURES[name])),
  ]);
  const broken = results.reduce((sum, result) => sum + result.broken.length, 0);
  return { ...Object.fromEntries(entries), runs: results.length, broken } as ResultSummary;
}

function summarizeFigure(values: readonly number[]): FigureSummary {
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const spread = Math.sqrt(squares / Math.max(1, values.length - 1));
  return { mean: roundTo(mean, FIGURE_PLACES), spread: roundTo(spread, FIGURE_PLACES) };
}

/** Differences below this many standard errors may be chance. */
const STANDARD_ERRORS = 2;

/** Whether two summaries of a figure differ by more than their seeds do. @public */
export function isBeyondNoise(left: FigureSummary, right: FigureSummary, runs: number): boolean {
  const error = Math.sqrt((left.spread ** 2 + right.spread ** 2) / Math.max(1, runs));
  return Math.abs(left.mean - right.mean) > STANDARD_ERRORS * error;
}
