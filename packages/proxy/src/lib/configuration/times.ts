import type { BackOffTimes } from '@wisterialift/core';

/** Times and limits of the configuration task that are not settings of the process. @public */
export interface ConfigurationTaskTimes {
  /** Pauses after failed calls of the platform. */
  backOff: BackOffTimes;
  /** Calls that may fail before a patch ends as unknown. */
  maximumPatchFailures: number;
  /** Attempts to tell one peer of one configuration; polls cover what was missed. */
  announceAttempts: number;
  announcePauseMilliseconds: number;
  /** Pause of a loop after a fault of the program. */
  faultPauseMilliseconds: number;
}

/** @public */
export const DEFAULT_CONFIGURATION_TASK_TIMES: ConfigurationTaskTimes = {
  backOff: { initialMilliseconds: 100, maximumMilliseconds: 5_000 },
  maximumPatchFailures: 5,
  announceAttempts: 3,
  announcePauseMilliseconds: 200,
  faultPauseMilliseconds: 1_000,
};
