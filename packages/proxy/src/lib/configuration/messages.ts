import type { ConfigurationFault, ConfigurationSource, PatchOutcome } from '@wisterialift/core';

/** What happened in the configuration task; one line in the log each. @public */
export type ConfigurationRecord =
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
  /** A fault of the program; the loop goes on after a pause. */
  | { name: 'configurationTaskFault'; loop: string; reason: string };

/** @public */
export type RecordConfiguration = (event: ConfigurationRecord) => void;
