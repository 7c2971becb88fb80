/** @public */
export interface ConcurrencyLimitOptions {
  /** Maximum number of concurrent statements at the database, for all instances together. */
  slots: number;
  /** Number of instances that send statements to the database. */
  instances: number;
}

/** @public */
export interface ConcurrencyLimit {
  /** Maximum number of concurrent statements of this instance at the database; at least 1. */
  getLimit: () => number;
  /**
   * @param milliseconds - time from sending the statement to receiving the complete answer.
   * @param running - concurrent statements of this instance, including this one.
   */
  recordCompletion: (milliseconds: number, running: number) => void;
  /** Records a statement that the database refused or lost. */
  recordFailure: () => void;
  update: (options: ConcurrencyLimitOptions) => void;
}

/** Above this ratio of the latency to the unloaded latency, statements queue at the database. */
const MAXIMUM_LATENCY_RATIO = 1.5;
const DECREASE_FACTOR = 0.9;
const SMOOTHING_FACTOR = 0.1;
/** Lets the unloaded latency follow a workload that has become slower. */
const LATENCY_DRIFT = 0.005;
const CLOCK_RESOLUTION_MILLISECONDS = 0.1;

/**
 * Creates an adaptive limit for the concurrent statements of one instance at a database.
 *
 * The limit varies between the instance's fair share of the slots and all slots. Per round of
 * completions it grows by one while the latency is near the unloaded latency, so that a busy instance
 * uses the slots that idle ones leave, and shrinks by a tenth while statements queue at the database.
 *
 * @public
 */
export function createConcurrencyLimit(options: ConcurrencyLimitOptions): ConcurrencyLimit {
  let { slots, instances } = options;
  let unloadedLatency: number | undefined;
  let averageLatency: number | undefined;
  let currentLimit = computeFairShare(slots, instances);

  const clamp = (value: number) =>
    Math.min(slots, Math.max(computeFairShare(slots, instances), value));

  const updateLatency = (milliseconds: number) => {
    averageLatency =
      averageLatency === undefined
        ? milliseconds
        : updateMovingAverage(averageLatency, milliseconds);
    unloadedLatency ??= averageLatency;
    if (averageLatency < unloadedLatency) unloadedLatency = averageLatency;
    // Above the fair share the latency includes queueing caused by this instance. Counted as
    // unloaded, it would keep the limit of every instance at all slots.
    const isAtFairShare = currentLimit <= computeFairShare(slots, instances);
    if (isAtFairShare) unloadedLatency += LATENCY_DRIFT * (averageLatency - unloadedLatency);
    return { observed: averageLatency, unloaded: unloadedLatency };
  };

  const recordCompletion = (milliseconds: number, running: number) => {
    const { observed, unloaded } = updateLatency(milliseconds);
    if (observed > MAXIMUM_LATENCY_RATIO * Math.max(unloaded, CLOCK_RESOLUTION_MILLISECONDS)) {
      currentLimit = clamp(
        currentLimit - (currentLimit * (1 - DECREASE_FACTOR)) / Math.max(1, currentLimit),
      );
    } else if (running >= Math.floor(currentLimit)) {
      // Grow only while the limit is reached.
      currentLimit = clamp(currentLimit + 1 / Math.max(1, currentLimit));
    }
  };

  return {
    getLimit: () => Math.max(1, Math.floor(currentLimit)),
    recordCompletion,
    recordFailure: () => {
      currentLimit = clamp(currentLimit * DECREASE_FACTOR);
    },
    update: (changed) => {
      ({ slots, instances } = changed);
      currentLimit = clamp(currentLimit);
    },
  };
}

function computeFairShare(slots: number, instances: number): number {
  return Math.max(1, slots / Math.max(1, instances));
}

function updateMovingAverage(average: number, observation: number): number {
  return average + SMOOTHING_FACTOR * (observation - average);
}
