import type { BurnReport, BurnReportLevel } from './burnReport';
import { formatMinutes, formatRate } from './renderBurnText';

const PLOT_WIDTH_PIXELS = 720;
const PLOT_HEIGHT_PIXELS = 120;

/** Minimum burn rate at the top of a plot. */
const MINIMUM_PLOT_TOP = 2;

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem; color: #1c2430; }
table { border-collapse: collapse; margin: 0.5rem 0 1rem; }
th, td { border-bottom: 1px solid #d5dbe3; padding: 0.25rem 0.9rem 0.25rem 0; text-align: left; }
.page { color: #b3261e; font-weight: 600; }
.ticket { color: #9a6700; font-weight: 600; }
.none { color: #2e7d32; }
svg { background: #f6f8fa; border: 1px solid #d5dbe3; }
`;

const HTML_ESCAPES: Record<string, string> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => HTML_ESCAPES[character] ?? character);
}

/** Renders the report as a self-contained HTML page. @public */
export function renderBurnPage(report: BurnReport): string {
  const missing = report.missingInstances.map(escapeHtml).join(', ');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>${STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Generated at ${escapeHtml(report.generatedAt)} from ${report.instances.length} instances${
    missing ? `; not answering: ${missing}` : ''
  }.</p>
${report.levels.map(renderLevel).join('\n')}
</body>
</html>
`;
}

function renderLevel({ level, windows, alarm, history }: BurnReportLevel): string {
  const heading = `${level.name}: ${level.kind} at ${level.group}`;
  const goal = `${level.objective * 100}% within ${level.latencyMilliseconds} ms`;
  const rows = windows
    .map(
      ({ minutes, good, bad, rate }) =>
        `<tr><td>${formatMinutes(minutes)}</td><td>${formatRate(rate)}</td><td>${bad}</td><td>${
          good + bad
        }</td></tr>`,
    )
    .join('');
  return `<section>
<h2>${escapeHtml(heading)}</h2>
<p>Objective ${escapeHtml(goal)}. Alarm: <span class="${alarm}">${alarm}</span></p>
<table><tr><th>window</th><th>burn rate</th><th>bad</th><th>requests</th></tr>${rows}</table>
${renderPlot(history)}
</section>`;
}

/** Plots the burn rate of six hours; the line has gaps where there were no requests. */
function renderPlot(history: readonly (number | undefined)[]): string {
  const rates = history.filter((rate) => rate !== undefined);
  const top = Math.max(MINIMUM_PLOT_TOP, ...rates);
  const toX = (index: number): string =>
    ((index / (history.length - 1)) * PLOT_WIDTH_PIXELS).toFixed(1);
  const toY = (rate: number): string =>
    (PLOT_HEIGHT_PIXELS - (rate / top) * PLOT_HEIGHT_PIXELS).toFixed(1);
  const points = history.map((rate, index) =>
    rate === undefined
      ? ''
      : `<circle cx="${toX(index)}" cy="${toY(rate)}" r="2.5" fill="#1f6feb"/>`,
  );
  return `<svg width="${PLOT_WIDTH_PIXELS}" height="${PLOT_HEIGHT_PIXELS}" role="img" aria-label="burn rate over six hours">
<line x1="0" x2="${PLOT_WIDTH_PIXELS}" y1="${toY(1)}" y2="${toY(1)}" stroke="#b3261e" stroke-dasharray="4"/>
<path d="${createPlotPath(history, toX, toY)}" fill="none" stroke="#1f6feb" stroke-width="1.5"/>
${points.join('')}
<text x="4" y="12" font-size="11">burn rate ${top.toFixed(1)}</text>
</svg>
<p>Six hours, five minutes a point; the dashed line is a burn rate of 1.</p>`;
}

function createPlotPath(
  history: readonly (number | undefined)[],
  toX: (index: number) => string,
  toY: (rate: number) => string,
): string {
  return history
    .map((rate, index) => {
      if (rate === undefined) return '';
      const isContinued = history[index - 1] !== undefined;
      return `${isContinued ? 'L' : 'M'}${toX(index)} ${toY(rate)}`;
    })
    .join('');
}
