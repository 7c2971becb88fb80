import { createLogger as createBunyanLogger, stdSerializers } from 'bunyan';

/** @public */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. Must not contain passwords, tokens or statements. @public */
export interface LogFields {
  group?: string;
  term?: number;
  requestId?: string;
  error?: Error;
  [field: string]: unknown;
}

/** Writes one line per call, with an event name. @public */
export type Logger = Record<LogLevel, (event: string, fields?: LogFields) => void>;

/** @public */
export interface LoggerOptions {
  instance: string;
  level: LogLevel;
  /** Output of the lines; defaults to standard output. */
  stream?: NodeJS.WritableStream;
}

/**
 * Creates a logger that writes each line as one JSON object.
 *
 * @example
 * ```ts
 * const logger = createLogger({ instance: 'entry-1', level: 'info' });
 * logger.info('primaryPromoted', { group: 'archivio-luci-1', term: 4 });
 * ```
 * @public
 */
export function createLogger(options: LoggerOptions): Logger {
  const { instance, level, stream = process.stdout } = options;
  const bunyan = createBunyanLogger({
    name: 'wisterialift',
    instance,
    level,
    stream,
    serializers: { error: stdSerializers.err },
  });
  const write =
    (lineLevel: LogLevel) =>
    (event: string, fields: LogFields = {}): void => {
      bunyan[lineLevel]({ event, ...fields }, event);
    };
  return {
    trace: write('trace'),
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}
