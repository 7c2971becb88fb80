/** A connection to a member could not be opened or was lost before an answer. @public */
export class UpstreamLostError extends Error {
  override readonly name = 'UpstreamLostError';

  /** Whether the connection was refused because nothing listens at the member's address. */
  readonly isRefused: boolean;

  constructor(message: string, options: { isRefused?: boolean; cause?: unknown } = {}) {
    super(message, { cause: options.cause });
    this.isRefused = options.isRefused ?? false;
  }
}
