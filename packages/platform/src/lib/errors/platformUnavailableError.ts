import { PlatformError } from './platformError';

/**
 * The platform could not be reached, did not respond in time, or responded with 5xx or 429; or the call
 * was aborted.
 *
 * @public
 */
export class PlatformUnavailableError extends PlatformError {
  /**
   * Whether an update may take effect, now or later; has no meaning for reads. False if no connection
   * was established or the platform rejected the request.
   */
  readonly mayHaveApplied: boolean;

  constructor(message: string, options: ErrorOptions & { mayHaveApplied: boolean }) {
    super(message, options);
    this.mayHaveApplied = options.mayHaveApplied;
  }
}
