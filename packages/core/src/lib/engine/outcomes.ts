import type { NotRunReason, Outcome, Position, UnknownReason } from '@wisterialift/schema';

/** @internal */
export function createDoneOutcome(position: Position | undefined): Outcome {
  return position ? { status: 'done', position } : { status: 'done' };
}

/** @internal */
export function createNotRunOutcome(reason: NotRunReason, retryAfterMilliseconds: number): Outcome {
  return { status: 'notRun', reason, retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
}

/** @internal */
export function createUnknownOutcome(
  reason: UnknownReason,
  retryAfterMilliseconds: number,
): Outcome {
  return { status: 'unknown', reason, retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
}

/** @internal */
export function createDiscardedOutcome(retryAfterMilliseconds: number): Outcome {
  return { status: 'discarded', retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
}
