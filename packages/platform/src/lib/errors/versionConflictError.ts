import { PlatformError } from './platformError';

/** A conditional update named a version that is not the present one; nothing was changed. @public */
export class VersionConflictError extends PlatformError {
  /** 0 where the object does not exist. */
  readonly presentVersion: number;

  constructor(message: string, options: { presentVersion: number }) {
    super(message);
    this.presentVersion = options.presentVersion;
  }
}
