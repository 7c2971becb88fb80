import { PlatformError } from './platformError';

/** The platform answered with something that the client does not understand. @public */
export class PlatformAnswerError extends PlatformError {}
