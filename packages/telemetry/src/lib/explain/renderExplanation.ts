import { renderTable } from '../text/renderTable';
import type { ExplainedStep, Explanation } from './explainRequest';

/** Renders an explanation as a table with one row per step. @public */
export function renderExplanation({
  requestId,
  groups,
  instances,
  steps,
  leftOut,
}: Explanation): string {
  const head = `request ${requestId}, group ${groups.join(', ') || 'unknown'}, seen by ${instances.join(', ')}\n`;
  const rows = steps.map((step) => [
    `${step.offset >= 0 ? '+' : ''}${step.offset} ms`,
    step.kind,
    step.instance,
    step.event,
    renderFields(step),
  ]);
  const table = renderTable([['time', 'why', 'instance', 'event', 'with'], ...rows]);
  const tail = leftOut > 0 ? `${leftOut} lines further from the request are left out\n` : '';
  return `${head}${table}${tail}`;
}

function renderFields({ fields }: ExplainedStep): string {
  return Object.entries(fields)
    .filter(([name]) => name !== 'requestId')
    .map(([name, value]) => `${name}=${renderValue(value)}`)
    .join(' ');
}

/** Renders only the message of an error, without its stack. */
function renderValue(value: unknown): string {
  if (typeof value === 'string') return value;
  if (typeof value === 'object' && value !== null && 'message' in value) {
    return JSON.stringify(value.message);
  }
  return JSON.stringify(value);
}
