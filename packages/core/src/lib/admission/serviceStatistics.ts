/** Estimates service times and the interval between completions. @public */
export interface ServiceStatistics {
  /** @param isBusy - whether requests are still queued, so that the service is saturated. */
  recordCompletion: (milliseconds: number, now: number, isBusy: boolean) => void;
  /** Upper estimate of the service time in milliseconds; 0 before the first completion. */
  estimateServiceTimeBound: () => number;
  /** Average milliseconds between completions under saturation; 0 if unknown. */
  estimateCompletionInterval: () => number;
}

const SMOOTHING_FACTOR = 1 / 16;
/** The bound on the service time is the mean plus this many mean deviations. */
const BOUND_DEVIATIONS = 2;

/**
 * Creates moving averages of the service time, its mean deviation and the completion interval.
 *
 * @public
 */
export function createServiceStatistics(): ServiceStatistics {
  let mean: number | undefined;
  let deviation = 0;
  let interval: number | undefined;
  let lastBusyCompletionAt: number | undefined;

  const recordServiceTime = (milliseconds: number) => {
    if (mean === undefined) {
      mean = milliseconds;
      deviation = milliseconds / 2;
      return;
    }
    deviation += SMOOTHING_FACTOR * (Math.abs(milliseconds - mean) - deviation);
    mean += SMOOTHING_FACTOR * (milliseconds - mean);
  };

  const recordInterval = (now: number, isBusy: boolean) => {
    if (lastBusyCompletionAt !== undefined) {
      const observed = now - lastBusyCompletionAt;
      interval =
        interval === undefined ? observed : interval + SMOOTHING_FACTOR * (observed - interval);
    }
    lastBusyCompletionAt = isBusy ? now : undefined;
  };

  return {
    recordCompletion: (milliseconds, now, isBusy) => {
      recordServiceTime(milliseconds);
      recordInterval(now, isBusy);
    },
    estimateServiceTimeBound: () => (mean === undefined ? 0 : mean + BOUND_DEVIATIONS * deviation),
    estimateCompletionInterval: () => interval ?? 0,
  };
}
