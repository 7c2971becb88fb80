export { type PlatformObject } from './lib/answers';
export {
  createPlatformClient,
  type PlatformClient,
  type PlatformClientOptions,
  type PlatformObjectKey,
  type PlatformUpdate,
  type PlatformWatch,
} from './lib/platformClient';
export { PlatformAnswerError } from './lib/errors/platformAnswerError';
export { PlatformError } from './lib/errors/platformError';
export { PlatformUnavailableError } from './lib/errors/platformUnavailableError';
export { VersionConflictError } from './lib/errors/versionConflictError';
export {
  createHttpExchange,
  type HttpAnswer,
  type HttpCall,
  type HttpExchange,
} from './lib/httpExchange';
