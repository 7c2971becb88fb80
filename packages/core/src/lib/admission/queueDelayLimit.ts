import { createLowestLatency } from './lowestLatency';

/** @public */
export interface QueueDelayLimitOptions {
  /** Concurrent statements that this instance may always run at the member. */
  floor: number;
  ceiling: number;
  /** Delay in the member's queue that callers tolerate for each statement. */
  targetDelayMilliseconds: number;
}

/** A statement that completed on an open connection; times in milliseconds. @public */
export interface StatementCompletion {
  sentAt: number;
  completedAt: number;
  /** Whether other statements of this instance waited because of the limit. */
  isLimited: boolean;
}

/** Limit of one instance's concurrent statements at a member. @public */
export interface QueueDelayLimit {
  /** Whole number of statements; at least 1. */
  getLimit: () => number;
  recordCompletion: (completion: StatementCompletion) => void;
  /** Records a statement that the member refused because its queue was full. */
  recordBusy: (refusal: { sentAt: number; refusedAt: number }) => void;
  /** Delay in the member's queue in the last window; undefined before the first window ended. */
  getQueueDelay: () => number | undefined;
  /** Ignores the statements sent before `now`, for example after a suspension of the process. */
  discardSamples: (now: number) => void;
  update: (options: QueueDelayLimitOptions) => void;
}

const MINIMUM_WINDOW_MILLISECONDS = 25;

/**
 * Statements that must all show a delay before the limit shrinks. Run times vary by a factor of 5 and
 * more, so that the shortest of fewer often exceeds the target without a queue: with 8, one holder of
 * statements of 36 ms left a third of 4 slots empty. With 16, the delay of six holders was 19 ms at a
 * target of 10 ms.
 */
const MINIMUM_DELAYED_STATEMENTS = 12;

const DELAY_DECREASE_FACTOR = 0.8;
const BUSY_DECREASE_FACTOR = 0.7;

/** Part of the target below which the limit grows. */
const GROWTH_THRESHOLD = 0.5;

/** Part of the target by which the latency without a queue may rise per 10 s. */
const MAXIMUM_RISE = 0.5;

interface Window {
  startedAt: number;
  /** Statements that completed or were refused. */
  statements: number;
  shortestMilliseconds: number;
  isLimited: boolean;
  hasBusy: boolean;
}

/**
 * Creates a limit that follows the delay in a member's queue, for a member that several instances
 * load beyond its slots without knowledge of each other.
 *
 * The delay is the shortest latency of a window of completions less the lowest latency of the last
 * 10 s. Above the target, the limit shrinks by a fifth; below half of it, the limit grows by 1 while
 * statements wait. Thus an instance takes over the share that another one does not use.
 *
 * @public
 */
export function createQueueDelayLimit(options: QueueDelayLimitOptions): QueueDelayLimit {
  let { floor, ceiling, targetDelayMilliseconds } = options;
  let limit = Math.max(1, floor);
  let window = startWindow(-Infinity);
  /** Statements sent earlier were delayed by a former limit, or their latency is unknown. */
  let validFrom = -Infinity;
  let queueDelay: number | undefined;
  const unloaded = createLowestLatency(() => targetDelayMilliseconds * MAXIMUM_RISE);

  const setLimit = (value: number) => {
    limit = Math.min(Math.max(1, ceiling), Math.max(1, floor, value));
  };

  const shrink = (factor: number, now: number) => {
    setLimit(limit * factor);
    validFrom = now;
  };

  const isWindowOver = (delay: number, now: number): boolean => {
    if (now - window.startedAt < MINIMUM_WINDOW_MILLISECONDS) return false;
    // One short latency shows that there is no standing queue; only several show that there is one.
    const isDelayed = delay > targetDelayMilliseconds;
    const required = isDelayed ? Math.max(limit, MINIMUM_DELAYED_STATEMENTS) : Math.floor(limit);
    return window.statements >= required;
  };

  /** Counts a statement in the window and adjusts the limit if it was the last one. */
  const countStatement = (now: number) => {
    window.statements += 1;
    const delay = Math.max(0, window.shortestMilliseconds - (unloaded.get() ?? 0));
    if (!isWindowOver(delay, now)) return;
    const { isLimited } = window;
    window = startWindow(now);
    // Without any completion, the queue is full and its delay is unknown.
    if (delay !== Infinity) queueDelay = delay;
    if (delay > targetDelayMilliseconds) shrink(DELAY_DECREASE_FACTOR, now);
    else if (isLimited && delay < targetDelayMilliseconds * GROWTH_THRESHOLD) setLimit(limit + 1);
  };

  return {
    getLimit: () => Math.floor(limit),
    recordCompletion: ({ sentAt, completedAt, isLimited }) => {
      if (sentAt < validFrom) return;
      const latency = completedAt - sentAt;
      unloaded.record(latency, completedAt);
      window.isLimited ||= isLimited;
      window.shortestMilliseconds = Math.min(window.shortestMilliseconds, latency);
      countStatement(completedAt);
    },
    recordBusy: ({ sentAt, refusedAt }) => {
      if (sentAt < validFrom) return;
      if (!window.hasBusy) {
        shrink(BUSY_DECREASE_FACTOR, refusedAt);
        window = { ...startWindow(refusedAt), hasBusy: true };
      }
      countStatement(refusedAt);
    },
    getQueueDelay: () => queueDelay,
    discardSamples: (now) => {
      validFrom = now;
      window = startWindow(now);
    },
    update: (changed) => {
      ({ floor, ceiling, targetDelayMilliseconds } = changed);
      setLimit(limit);
    },
  };
}

function startWindow(startedAt: number): Window {
  return {
    startedAt,
    statements: 0,
    shortestMilliseconds: Infinity,
    isLimited: false,
    hasBusy: false,
  };
}
