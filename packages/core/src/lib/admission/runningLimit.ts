/** @public */
export interface RunningLimitOptions {
  /** Statements that the database runs at the same time, for all instances together. */
  slots: number;
  /** Instances that send statements to the database. */
  instances: number;
}

/** @public */
export interface RunningLimit {
  /** Statements that this instance may run at the database at the same time; at least 1. */
  limit: () => number;
  /**
   * @param milliseconds - time from sending the statement to its whole answer.
   * @param running - statements of this instance that ran there, this one included.
   */
  recordCompletion: (milliseconds: number, running: number) => void;
  /** The database refused or lost a statement. */
  recordFailure: () => void;
  update: (options: RunningLimitOptions) => void;
}

/** Latency in proportion to the unloaded one up to which a database counts as not queueing. */
const TOLERATED_SLOWDOWN = 1.5;
const DECREASE_FACTOR = 0.9;
const SMOOTHING = 0.1;
/** Pull of the unloaded latency upwards, so that it follows a workload that has become slower. */
const BASELINE_DRIFT = 0.005;
const CLOCK_RESOLUTION_MILLISECONDS = 0.1;

/**
 * Limits the statements that one instance runs at a database at the same time.
 *
 * The fair part of the slots is always allowed. Above it the limit grows by one statement for each
 * round of completions while the latency stays near the unloaded one, so that a busy instance uses
 * the slots that quiet ones leave, and shrinks by a tenth a round once statements queue at the
 * database. It never exceeds the slots.
 *
 * @public
 */
export function createRunningLimit(options: RunningLimitOptions): RunningLimit {
  let { slots, instances } = options;
  let baseline: number | undefined;
  let smoothed: number | undefined;
  let current = fairPart(slots, instances);

  const clamp = (value: number) => Math.min(slots, Math.max(fairPart(slots, instances), value));

  const observe = (milliseconds: number) => {
    smoothed = smoothed === undefined ? milliseconds : blend(smoothed, milliseconds);
    baseline ??= smoothed;
    if (smoothed < baseline) baseline = smoothed;
    // Above the fair part the latency holds queueing that this instance may cause itself: taken for
    // unloaded, it would let the limit of every instance climb to the slots and stay there.
    const isAtFairPart = current <= fairPart(slots, instances);
    if (isAtFairPart) baseline += BASELINE_DRIFT * (smoothed - baseline);
    return { observed: smoothed, unloaded: baseline };
  };

  const recordCompletion = (milliseconds: number, running: number) => {
    const { observed, unloaded } = observe(milliseconds);
    if (observed > TOLERATED_SLOWDOWN * Math.max(unloaded, CLOCK_RESOLUTION_MILLISECONDS)) {
      current = clamp(current - (current * (1 - DECREASE_FACTOR)) / Math.max(1, current));
    } else if (running >= Math.floor(current)) {
      // Growth only while the limit is what holds statements back.
      current = clamp(current + 1 / Math.max(1, current));
    }
  };

  return {
    limit: () => Math.max(1, Math.floor(current)),
    recordCompletion,
    recordFailure: () => {
      current = clamp(current * DECREASE_FACTOR);
    },
    update: (changed) => {
      ({ slots, instances } = changed);
      current = clamp(current);
    },
  };
}

function fairPart(slots: number, instances: number): number {
  return Math.max(1, slots / Math.max(1, instances));
}

function blend(average: number, observation: number): number {
  return average + SMOOTHING * (observation - average);
}
