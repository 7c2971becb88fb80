import { PlatformError } from './platformError';

/**
 * The platform gave no answer in time, or said that it is down.
 *
 * @public
 */
export class PlatformUnavailableError extends PlatformError {
  /**
   * Whether the call may have taken effect or may still do so. False only where the connection was
   * never established or the platform itself refused the call.
   */
  readonly mayHaveApplied: boolean;

  constructor(message: string, options: ErrorOptions & { mayHaveApplied: boolean }) {
    super(message, options);
    this.mayHaveApplied = options.mayHaveApplied;
  }
}
