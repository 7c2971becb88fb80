import { PlatformError } from './platformError';

/** A name that no path can hold; nothing was sent. @public */
export class PlatformNameError extends PlatformError {}
