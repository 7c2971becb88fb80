import type { NotRunReason, Outcome, Position, UnknownReason } from '@wisterialift/schema';

/** @internal */
export function createDoneOutcome(position: Position | undefined): Outcome {
  return position ? { status: 'done', position } : { status: 'done' };
}

/** @internal */
export function createNotRunOutcome(reason: NotRunReason, retryAfter: number): Outcome {
  return { status: 'notRun', reason, retryAfterMilliseconds: Math.ceil(retryAfter) };
}

/** @internal */
export function createUnknownOutcome(reason: UnknownReason, retryAfter: number): Outcome {
  return { status: 'unknown', reason, retryAfterMilliseconds: Math.ceil(retryAfter) };
}

/** @internal */
export function createDiscardedOutcome(retryAfter: number): Outcome {
  return { status: 'discarded', retryAfterMilliseconds: Math.ceil(retryAfter) };
}
