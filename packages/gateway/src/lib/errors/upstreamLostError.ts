/** A connection to a member ended, or could not be opened, without an answer. @public */
export class UpstreamLostError extends Error {
  override readonly name = 'UpstreamLostError';

  /** Whether the member's address answered that nothing listens there. */
  readonly isRefused: boolean;

  constructor(message: string, options: { isRefused?: boolean; cause?: unknown } = {}) {
    super(message, { cause: options.cause });
    this.isRefused = options.isRefused ?? false;
  }
}
