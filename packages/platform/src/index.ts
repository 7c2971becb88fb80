export { type PlatformObject } from './lib/responses';
export {
  createPlatformClient,
  type PlatformClient,
  type PlatformClientOptions,
  type PlatformObjectKey,
  type PlatformUpdate,
  type PlatformWatch,
} from './lib/platformClient';
export { PlatformAnswerError } from './lib/errors/platformAnswerError';
export { encodePathSegment } from './lib/pathSegment';
export { PlatformNameError } from './lib/errors/platformNameError';
export { PlatformError } from './lib/errors/platformError';
export { PlatformUnavailableError } from './lib/errors/platformUnavailableError';
export { VersionConflictError } from './lib/errors/versionConflictError';
export {
  createHttpClient,
  type HttpResponse,
  type HttpRequest,
  type HttpClient,
} from './lib/httpClient';
