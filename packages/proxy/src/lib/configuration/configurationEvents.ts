import type { ConfigurationFault, ConfigurationSource, PatchOutcome } from '@wisterialift/core';

/** Events of the configuration task; each is written as one log line. @public */
export type ConfigurationEvent =
  | { name: 'configurationAdopted'; number: number; source: ConfigurationSource }
  | {
      name: 'configurationRefused';
      source: ConfigurationSource;
      faults: readonly ConfigurationFault[];
    }
  | { name: 'platformUnavailable'; reason: string }
  | { name: 'platformAvailable'; awayMilliseconds: number }
  | { name: 'patchFinished'; patchId: string; status: PatchOutcome['status'] }
  | { name: 'watchRoleChanged'; isWatcher: boolean }
  | { name: 'instancesChanged'; live: string[]; leaving: string[] }
  | { name: 'primaryPublishFailed'; group: string; term: number; reason: string }
  /**
   * An unexpected error in a loop, in the callback `onConfiguration` or in a platform call; the task
   * continues.
   */
  | { name: 'configurationTaskFault'; loop: string; reason: string };

/** @public */
export type RecordConfigurationEvent = (event: ConfigurationEvent) => void;
