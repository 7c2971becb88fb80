import type { FailureReason } from '@wisterialift/pooling';

/** A member rejected a connection with a failure reason. @public */
export class UpstreamRefusedError extends Error {
  override readonly name = 'UpstreamRefusedError';

  constructor(
    readonly reason: FailureReason,
    detail: string,
  ) {
    super(`the member refused the connection: ${reason} ${detail}`);
  }
}
