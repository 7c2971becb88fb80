import { renderTable } from '../text/renderTable';
import type { BurnReport, BurnReportLevel, BurnWindow } from './burnReport';

/** Formats a burn rate with two decimals, or as a dash if there were no requests. @internal */
export function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(2);
}

/** @internal */
export function formatMinutes(minutes: number): string {
  return minutes % 60 === 0 ? `${minutes / 60}h` : `${minutes}m`;
}

/** Renders the report as a table for a terminal. @public */
export function renderBurnText(report: BurnReport): string {
  const table = renderTable([createHeadings(report), ...report.levels.map(createRow)]);
  return [
    `service-level burn at ${report.generatedAt}`,
    table + createFooter(report).join('\n'),
    '',
  ].join('\n');
}

function createHeadings(report: BurnReport): string[] {
  const windows = report.levels[0]?.windows ?? [];
  const windowHeadings = windows.map(({ minutes }) => `burn ${formatMinutes(minutes)}`);
  return ['level', 'group', 'kind', 'objective', ...windowHeadings, 'bad/total', 'alarm'];
}

function createRow({ level, windows, alarm }: BurnReportLevel): string[] {
  const rates = windows.map(({ rate }) => formatRate(rate));
  return [
    level.name,
    level.group,
    level.kind,
    `${level.objective}`,
    ...rates,
    formatLongestWindowCounts(windows),
    alarm,
  ];
}

function formatLongestWindowCounts(windows: readonly BurnWindow[]): string {
  const window = windows.at(-1);
  return window ? `${window.bad}/${window.bad + window.good}` : '0/0';
}

function createFooter({ instances, missingInstances }: BurnReport): string[] {
  const lines = [`instances: ${instances.join(', ') || 'none'}`];
  if (missingInstances.length > 0) lines.push(`not answering: ${missingInstances.join(', ')}`);
  return lines;
}
