import { renderTable } from '../text/renderTable';
import type { BurnReport, BurnReportLevel, BurnWindow } from './burnReport';

/** Burn rate with two decimals, or a dash where no request was judged. @internal */
export function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(2);
}

/** @internal */
export function formatMinutes(minutes: number): string {
  return minutes % 60 === 0 ? `${minutes / 60}h` : `${minutes}m`;
}

/** Renders the report as a table for a terminal. @public */
export function renderBurnText(report: BurnReport): string {
  const table = renderTable([headings(report), ...report.levels.map(row)]);
  return [
    `service-level burn at ${report.generatedAt}`,
    table + footer(report).join('\n'),
    '',
  ].join('\n');
}

function headings(report: BurnReport): string[] {
  const windows = report.levels[0]?.windows ?? [];
  const windowHeadings = windows.map(({ minutes }) => `burn ${formatMinutes(minutes)}`);
  return ['level', 'group', 'kind', 'objective', ...windowHeadings, 'bad/total', 'alarm'];
}

function row({ level, windows, alarm }: BurnReportLevel): string[] {
  const rates = windows.map(({ rate }) => formatRate(rate));
  return [
    level.name,
    level.group,
    level.kind,
    `${level.objective}`,
    ...rates,
    longest(windows),
    alarm,
  ];
}

function longest(windows: readonly BurnWindow[]): string {
  const window = windows.at(-1);
  return window ? `${window.bad}/${window.bad + window.good}` : '0/0';
}

function footer({ instances, missingInstances }: BurnReport): string[] {
  const lines = [`instances: ${instances.join(', ') || 'none'}`];
  if (missingInstances.length > 0) lines.push(`not answering: ${missingInstances.join(', ')}`);
  return lines;
}
