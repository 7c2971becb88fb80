/** A queue that has been non-empty for longer than this is treated as overloaded. */
const MAXIMUM_BURST_MILLISECONDS = 1_000;

/** Fraction of the latency goal that a statement may spend queued during an overload. */
const OVERLOAD_WAIT_FRACTION = 0.25;

/**
 * Maximum time that a statement may be queued before it is refused, in milliseconds.
 *
 * A burst may use all the time left: after it, as when all callers return at once, the queue drains
 * and everybody is served. In a lasting overload the queue does not drain, so waiting longer only adds
 * latency. A short queue then serves as many, in time.
 *
 * @public
 */
export function computeMaximumQueueWait({
  latencyGoal,
  timeLeft,
  timeSinceEmpty,
}: {
  /** Latency goal of the route, in milliseconds. */
  latencyGoal: number;
  /** Milliseconds until the caller stops waiting for the answer. */
  timeLeft: number;
  /** Milliseconds since the queue was last empty. */
  timeSinceEmpty: number;
}): number {
  return timeSinceEmpty < MAXIMUM_BURST_MILLISECONDS
    ? timeLeft
    : Math.min(timeLeft, latencyGoal * OVERLOAD_WAIT_FRACTION);
}
