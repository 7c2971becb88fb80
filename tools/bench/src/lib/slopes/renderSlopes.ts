import { fitSlope } from './fitSlope';
import type { SlopePoint, SlopeSeries } from './measureSlopes';

const COLUMNS: { title: string; value: (point: SlopePoint) => number; digits: number }[] = [
  { title: 'processor %', value: (point) => point.processorPercent, digits: 2 },
  { title: 'bytes/s', value: (point) => point.bytesPerSecond, digits: 0 },
  { title: 'platform calls/s', value: (point) => point.platformCallsPerSecond, digits: 2 },
  { title: 'memory MB', value: (point) => point.residentMegabytes, digits: 1 },
];

const WIDTH = 18;

/** Writes the points of each dimension and the line through them. */
export function renderSlopes(series: readonly SlopeSeries[]): string {
  return series.map(renderSeries).join('\n');
}

function renderSeries({ dimension, points }: SlopeSeries): string {
  const head = [dimension, ...COLUMNS.map(({ title }) => title)];
  const rows = points.map((point) => [
    String(point.x),
    ...COLUMNS.map(({ value, digits }) => value(point).toFixed(digits)),
  ]);
  const slopes = COLUMNS.map(({ value }) =>
    fitSlope(points.map((point) => ({ x: point.x, y: value(point) }))),
  );
  const perUnit = ['for each more', ...slopes.map((slope) => slope.perUnit.toPrecision(3))];
  const atZero = ['at none', ...slopes.map((slope) => slope.atZero.toPrecision(3))];
  return [head, ...rows, perUnit, atZero].map(renderLine).join('');
}

function renderLine([first = '', ...cells]: string[]): string {
  return `${first.padEnd(32)}${cells.map((cell) => cell.padStart(WIDTH)).join('')}\n`;
}
