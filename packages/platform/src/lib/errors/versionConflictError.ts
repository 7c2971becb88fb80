import { PlatformError } from './platformError';

/** The expected version of an update is not the current one; nothing was changed. @public */
export class VersionConflictError extends PlatformError {
  /** 0 if the object does not exist. */
  readonly currentVersion: number;

  constructor(message: string, options: { currentVersion: number }) {
    super(message);
    this.currentVersion = options.currentVersion;
  }
}
