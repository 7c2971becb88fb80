import { createQueueDelayLimit } from '@wisterialift/core';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { Clock } from '../ports/clock';

/** Measurements of the adaptive concurrency at one member. @public */
export interface ConcurrencyReport {
  memberId: string;
  /** Maximum number of concurrent statements of this instance at the member. */
  limit: number;
  /** Undefined until enough statements completed. */
  queueDelayMilliseconds: number | undefined;
  /** Statements that the member refused because its queue was full. */
  busyAnswers: number;
}

export interface EndedStatement {
  sentAt: number;
  outcome: { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost' };
  /** Running and waiting statements of this instance at the member, including this one. */
  statements: number;
}

/** Limits the concurrent statements of this instance at one member. */
export interface MemberConcurrency {
  getLimit: () => number;
  /** Records how a statement ended that was sent on an open connection. */
  recordOutcome: (ended: EndedStatement) => void;
  /** Ignores the statements in progress, whose latencies include a suspension of the process. */
  discardSamples: () => void;
  /** Undefined if the limit is fixed. */
  report: () => ConcurrencyReport | undefined;
}

export interface AdaptiveConcurrencyOptions {
  group: string;
  memberId: string;
  slots: number;
  /** Largest limit. */
  ceiling: number;
  /** Number of instances that keep connections to the member, including this one. */
  countConnectedInstances: () => number;
  /** Tolerated delay in the member's queue, in milliseconds. */
  getTargetDelay: () => number;
  clock: Clock;
  logger: Logger;
}

/** Part of the shortest goal that a statement may wait in a member's queue: 10 ms of 400 ms. */
const TARGET_DELAY_GOAL_FRACTION = 1 / 40;

/** A smaller target is not distinguishable from the spread of the shortest run times. */
const MINIMUM_TARGET_DELAY_MILLISECONDS = 5;

const LOG_INTERVAL_MILLISECONDS = 1_000;

/** A limit is logged when it changed by this factor since it was last logged. */
const LOGGED_CHANGE_FACTOR = 2;

/** @param shortestGoal - shortest latency goal of the routes of the group, in milliseconds. */
export function computeTargetDelay(shortestGoal: number): number {
  return Math.max(MINIMUM_TARGET_DELAY_MILLISECONDS, shortestGoal * TARGET_DELAY_GOAL_FRACTION);
}

/** Creates the limit of a deployment without `adaptiveConcurrency`. */
export function createFixedConcurrency(limit: number): MemberConcurrency {
  return {
    getLimit: () => limit,
    recordOutcome: () => undefined,
    discardSamples: () => undefined,
    report: () => undefined,
  };
}

/** Creates a limit that follows the delay in the member's queue, see `createQueueDelayLimit`. */
export function createAdaptiveConcurrency(options: AdaptiveConcurrencyOptions): MemberConcurrency {
  const { group, memberId, clock, logger } = options;
  const limit = createQueueDelayLimit(getBounds());
  let busyAnswers = 0;
  let loggedLimit = limit.getLimit();
  let loggedAt = -Infinity;

  function getBounds() {
    const { slots, ceiling, countConnectedInstances, getTargetDelay } = options;
    return {
      floor: slots / countConnectedInstances(),
      ceiling,
      targetDelayMilliseconds: getTargetDelay(),
    };
  }

  /** Logs a limit that changed considerably; a limit that oscillates would fill the log. */
  function logChange(): void {
    const current = limit.getLimit();
    const ratio = Math.max(current / loggedLimit, loggedLimit / current);
    const now = clock.now();
    if (ratio < LOGGED_CHANGE_FACTOR || now - loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    logger.info('concurrencyLimitChanged', {
      group,
      memberId,
      limit: current,
      formerLimit: loggedLimit,
      queueDelayMilliseconds: limit.getQueueDelay(),
      targetDelayMilliseconds: options.getTargetDelay(),
      busyAnswers,
    });
    loggedLimit = current;
    loggedAt = now;
  }

  function recordAnswer(answer: UpstreamAnswer, { sentAt, statements }: EndedStatement): void {
    const now = clock.now();
    if (answer.outcome === 'completed') {
      const isLimited = statements > limit.getLimit();
      limit.recordCompletion({ sentAt, completedAt: now, isLimited });
    } else if (answer.reason === 'busy') {
      busyAnswers += 1;
      limit.recordBusy({ sentAt, refusedAt: now });
    }
  }

  return {
    getLimit: limit.getLimit,
    recordOutcome: (ended) => {
      const { outcome } = ended;
      if (outcome.type === 'lost') return;
      // The number of connected instances and the target change with the instances and the routes.
      limit.update(getBounds());
      recordAnswer(outcome.answer, ended);
      logChange();
    },
    discardSamples: () => limit.discardSamples(clock.now()),
    report: () => ({
      memberId,
      limit: limit.getLimit(),
      queueDelayMilliseconds: limit.getQueueDelay(),
      busyAnswers,
    }),
  };
}
