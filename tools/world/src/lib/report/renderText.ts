import { renderTable } from '@wisterialift/telemetry';
import type { ExperimentResult } from '../experiment/runExperiment';
import { SUMMARY_FIGURES, isBeyondNoise } from './summarize';
import type { ResultSummary } from './summarize';

/** One run, window by window. @public */
export function renderRun({ seed, callers, system, broken }: ExperimentResult): string {
  const { windows, ...totals } = callers;
  const rows = windows.map((window) => Object.values(window).map(String));
  const lines = [
    `seed ${seed}`,
    renderTable([Object.keys(windows[0] ?? {}), ...rows]),
    `callers ${JSON.stringify(totals)}`,
    `system  ${JSON.stringify(system)}`,
    ...broken.slice(0, 10).map(({ promise, at, detail }) => `BROKEN ${promise} ${at}: ${detail}`),
  ];
  return lines.join('\n');
}

/** Summaries side by side; a star marks what differs from the first by more than the seeds do. @public */
export function renderSummaries(summaries: ReadonlyMap<string, ResultSummary>): string {
  const [first] = summaries.values();
  const header = ['figure', ...summaries.keys()];
  const rows = SUMMARY_FIGURES.map((name) => [
    name,
    ...[...summaries.values()].map((summary) => {
      const { mean, spread } = summary[name];
      const isOther =
        first !== undefined && isBeyondNoise(first[name], summary[name], summary.runs);
      return `${mean} ±${spread}${isOther ? ' *' : ''}`;
    }),
  ]);
  const broken = ['broken', ...[...summaries.values()].map((summary) => String(summary.broken))];
  return renderTable([header, ...rows, broken]);
}
