import type { FailureReason } from '@wisterialift/pooling';

/** How one attempt at an operation ended. @internal */
export type AttemptEnd =
  | { type: 'served' }
  /** Nothing of it is kept, as the answer promises; it may state when to return. */
  | { type: 'refused'; reason: FailureReason; returnMilliseconds?: number }
  /** Nothing is known; it may be tried again only where it would change nothing. */
  | { type: 'unknown'; mayRepeat: boolean };
