import type { FailureReason } from '@wisterialift/pooling';

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

/** A member refused a connection. @public */
export class UpstreamRefusedError extends Error {
  override readonly name = 'UpstreamRefusedError';

  constructor(
    readonly reason: FailureReason,
    detail: string,
  ) {
    super(`the member refused the connection: ${reason} ${detail}`);
  }
}

/** No connection could be had in the time that was left. */
export class NoConnectionError extends Error {
  override readonly name = 'NoConnectionError';
}
