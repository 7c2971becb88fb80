import { PlatformError } from './platformError';

/** The platform sent a response with an unexpected status or an invalid body. @public */
export class PlatformAnswerError extends PlatformError {}
