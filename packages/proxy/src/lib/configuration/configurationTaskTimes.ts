import type { BackOffTimes } from '@wisterialift/core';

/**
 * Delays and limits of the configuration task that are not configurable in the settings.
 *
 * @public
 */
export interface ConfigurationTaskTimes {
  /** Delays after failed platform calls. */
  backOff: BackOffTimes;
  /** Failed calls after which the outcome of a patch is `unknown`. */
  maximumPatchFailures: number;
  /**
   * Attempts to announce a configuration to one peer; a missed one arrives with its next poll or
   * watch.
   */
  announceAttempts: number;
  announceRetryDelayMilliseconds: number;
  /** Delay of a loop after an unexpected error. */
  errorDelayMilliseconds: number;
}

/** @public */
export const DEFAULT_CONFIGURATION_TASK_TIMES: ConfigurationTaskTimes = {
  backOff: { initialMilliseconds: 100, maximumMilliseconds: 5_000 },
  maximumPatchFailures: 5,
  announceAttempts: 3,
  announceRetryDelayMilliseconds: 200,
  errorDelayMilliseconds: 1_000,
};
