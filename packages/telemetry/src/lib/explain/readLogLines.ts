/** One parsed log line of an instance. @public */
export interface LogLine {
  instance: string;
  event: string;
  /** Milliseconds since the epoch, by the clock of the instance. */
  at: number;
  fields: Record<string, unknown>;
}

/** Fields that every line has, which are not part of the event. */
const ENVELOPE_FIELDS = new Set([
  'name',
  'instance',
  'hostname',
  'pid',
  'level',
  'event',
  'msg',
  'time',
  'v',
]);

/**
 * Parses a log and sorts its lines by time. Skips prefixes that a log collector added, and lines
 * that are not complete JSON or lack instance, event or time.
 *
 * @public
 */
export function readLogLines(text: string): LogLine[] {
  const lines = text.split('\n').flatMap((line) => {
    const parsed = parseLine(line);
    return parsed ? [parsed] : [];
  });
  return lines.sort((left, right) => left.at - right.at);
}

function parseLine(line: string): LogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let value: Record<string, unknown>;
  try {
    value = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // A truncated line, such as the last one of a killed process.
    return undefined;
  }
  const { instance, event, time } = value;
  const at = Date.parse(String(time));
  if (typeof instance !== 'string' || typeof event !== 'string' || Number.isNaN(at)) {
    return undefined;
  }
  const fields = Object.entries(value).filter(([name]) => !ENVELOPE_FIELDS.has(name));
  return { instance, event, at, fields: Object.fromEntries(fields) };
}
