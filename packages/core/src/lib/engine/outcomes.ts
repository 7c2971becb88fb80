import type {
  NotRunReason,
  RequestOutcome,
  Position,
  UnknownOutcomeReason,
} from '@wisterialift/schema';

/** @internal */
export function createDoneOutcome(position: Position | undefined): RequestOutcome {
  return position ? { status: 'done', position } : { status: 'done' };
}

/** @internal */
export function createNotRunOutcome(
  reason: NotRunReason,
  retryAfterMilliseconds: number,
): RequestOutcome {
  return { status: 'notRun', reason, retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
}

/** @internal */
export function createUnknownOutcome(
  reason: UnknownOutcomeReason,
  retryAfterMilliseconds: number,
): RequestOutcome {
  return { status: 'unknown', reason, retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
}

/** @internal */
export function createDiscardedOutcome(retryAfterMilliseconds: number): RequestOutcome {
  return { status: 'discarded', retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
}
