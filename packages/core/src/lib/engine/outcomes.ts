import type { NotRunReason, Outcome, Position, UnknownReason } from '@wisterialift/schema';

/** @internal */
export function done(position: Position | undefined): Outcome {
  return position ? { status: 'done', position } : { status: 'done' };
}

/** @internal */
export function notRun(reason: NotRunReason, retryAfter: number): Outcome {
  return { status: 'notRun', reason, retryAfterMilliseconds: Math.ceil(retryAfter) };
}

/** @internal */
export function unknown(reason: UnknownReason, retryAfter: number): Outcome {
  return { status: 'unknown', reason, retryAfterMilliseconds: Math.ceil(retryAfter) };
}

/** @internal */
export function discarded(retryAfter: number): Outcome {
  return { status: 'discarded', retryAfterMilliseconds: Math.ceil(retryAfter) };
}
