import type { RequestTimes } from './messages';
import type { TrackedRequest } from './requestTable';

/** Splits the time of an open request into its phases. @internal */
export function measureRequest(request: TrackedRequest, now: number): RequestTimes {
  const { arrivedAt, limitMilliseconds, startedAt, answer, attempt } = request;
  const runStartedAt = attempt === 0 ? now : startedAt;
  const { firstAt, lastAt } = answer ?? { firstAt: now, lastAt: now };
  return {
    limitMilliseconds: Math.round(limitMilliseconds),
    queuedMilliseconds: Math.round(runStartedAt - arrivedAt),
    respondingMilliseconds: Math.round(firstAt - runStartedAt),
    forwardingMilliseconds: Math.round(lastAt - firstAt),
    stalledMilliseconds: Math.round(now - lastAt),
    attempts: attempt,
  };
}
