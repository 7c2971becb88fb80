import type { LogFields, LogLevel, Logger } from './createLogger';

/** @public */
export interface BoundedLoggerOptions {
  now?: () => number;
  /** Bytes that standard output has not taken yet. */
  backlog?: () => number;
}

/**
 * Lines a second by level. Failures are the last to go: at 100 statements a second and instance, all
 * of them failing, each still has its line; lines of the usual course stop sooner.
 */
const LINES_PER_SECOND: Record<LogLevel, number> = {
  trace: 20,
  debug: 20,
  info: 100,
  warn: 200,
  error: 200,
};

/** Bytes that may wait for a reader of standard output that does not keep up. */
const BACKLOG_LIMIT_BYTES = 1_048_576;

const WINDOW_MILLISECONDS = 1_000;

/**
 * Wraps a logger so that its volume is bounded and a reader that does not keep up costs no memory.
 *
 * Under overload every request could log, which would make the overload worse; what is left out is
 * counted and told in one line a second.
 *
 * @public
 */
export function createBoundedLogger(logger: Logger, options: BoundedLoggerOptions = {}): Logger {
  const { now = () => performance.now(), backlog = () => process.stdout.writableLength } = options;
  const written: Partial<Record<LogLevel, number>> = {};
  let leftOut = 0;
  let windowStart = now();

  function turnWindow(): void {
    if (now() - windowStart < WINDOW_MILLISECONDS) return;
    windowStart = now();
    for (const level of Object.keys(written) as LogLevel[]) written[level] = 0;
    if (leftOut === 0 || backlog() > BACKLOG_LIMIT_BYTES) return;
    logger.warn('logLinesLeftOut', { count: leftOut });
    leftOut = 0;
  }

  const write =
    (level: LogLevel) =>
    (event: string, fields?: LogFields): void => {
      turnWindow();
      const count = written[level] ?? 0;
      if (count >= LINES_PER_SECOND[level] || backlog() > BACKLOG_LIMIT_BYTES) {
        leftOut += 1;
        return;
      }
      written[level] = count + 1;
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
