/** One line that an instance wrote. @public */
export interface LogLine {
  instance: string;
  event: string;
  /** Milliseconds since the epoch, by the instance's time of day. */
  at: number;
  fields: Record<string, unknown>;
}

/** Fields of the logging library that say nothing of the event. */
const ENVELOPE = new Set([
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
 * Reads the lines of a log, in time order. What a collector put before a line's JSON is passed over,
 * and so are lines without one.
 *
 * @public
 */
export function readLogLines(text: string): LogLine[] {
  const lines = text.split('\n').flatMap((line) => {
    const read = readLine(line);
    return read ? [read] : [];
  });
  return lines.sort((left, right) => left.at - right.at);
}

function readLine(line: string): LogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let value: Record<string, unknown>;
  try {
    value = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // A line that was cut off, as the last one of a process that was killed.
    return undefined;
  }
  const { instance, event, time } = value;
  const at = Date.parse(String(time));
  if (typeof instance !== 'string' || typeof event !== 'string' || Number.isNaN(at)) {
    return undefined;
  }
  const fields = Object.entries(value).filter(([name]) => !ENVELOPE.has(name));
  return { instance, event, at, fields: Object.fromEntries(fields) };
}
