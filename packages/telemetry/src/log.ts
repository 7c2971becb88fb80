export { createLogger } from './lib/log/createLogger';
export { createBoundedLogger, type BoundedLoggerOptions } from './lib/log/createBoundedLogger';
export type { LogFields, LogLevel, Logger, LoggerOptions } from './lib/log/createLogger';
