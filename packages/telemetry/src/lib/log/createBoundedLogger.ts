import type { LogFields, LogLevel, Logger } from './createLogger';

/** @public */
export interface BoundedLoggerOptions {
  now?: () => number;
  /** Bytes that are buffered for standard output. */
  backlogBytes?: () => number;
}

/** Limits by level; 100 failures per second fit within those of `warn` and `error`. */
const MAXIMUM_LINES_PER_SECOND: Record<LogLevel, number> = {
  trace: 20,
  debug: 20,
  info: 100,
  warn: 200,
  error: 200,
};

const BACKLOG_LIMIT_BYTES = 1_048_576;

const WINDOW_MILLISECONDS = 1_000;

/**
 * Wraps a logger to limit its lines per second, so that logging does not increase an overload, and
 * its backlog, so that a slow reader of standard output does not use up memory.
 *
 * Dropped lines are counted; the count is logged at most once per second, with the next line.
 *
 * @public
 */
export function createBoundedLogger(logger: Logger, options: BoundedLoggerOptions = {}): Logger {
  const { now = () => performance.now(), backlogBytes = () => process.stdout.writableLength } =
    options;
  const writtenLines: Partial<Record<LogLevel, number>> = {};
  let droppedLines = 0;
  let windowStartedAt = now();

  function rollWindow(): void {
    if (now() - windowStartedAt < WINDOW_MILLISECONDS) return;
    windowStartedAt = now();
    for (const level of Object.keys(writtenLines) as LogLevel[]) writtenLines[level] = 0;
    if (droppedLines === 0 || backlogBytes() > BACKLOG_LIMIT_BYTES) return;
    logger.warn('logLinesLeftOut', { count: droppedLines });
    droppedLines = 0;
  }

  const write =
    (level: LogLevel) =>
    (event: string, fields?: LogFields): void => {
      rollWindow();
      const count = writtenLines[level] ?? 0;
      if (count >= MAXIMUM_LINES_PER_SECOND[level] || backlogBytes() > BACKLOG_LIMIT_BYTES) {
        droppedLines += 1;
        return;
      }
      writtenLines[level] = count + 1;
      logger[level](event, fields);
    };

  return {
    trace: write('trace'),
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}
