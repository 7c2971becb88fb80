import { PlatformError } from './platformError';

/** The platform did not respond in time, or responded with 5xx or 429. @public */
export class PlatformUnavailableError extends PlatformError {
  /**
   * Whether the request may take effect, now or later. False if no connection was established or the
   * platform rejected the request.
   */
  readonly mayHaveApplied: boolean;

  constructor(message: string, options: ErrorOptions & { mayHaveApplied: boolean }) {
    super(message, options);
    this.mayHaveApplied = options.mayHaveApplied;
  }
}
