import { decideAdoption } from '@wisterialift/core';
import type { ConfigurationSource } from '@wisterialift/core';
import type { HeldConfiguration } from '@wisterialift/peer';
import type { ConfigurationObject } from '@wisterialift/schema';
import type { RecordConfigurationEvent } from './configurationEvents';

/** The active configuration and when the platform last confirmed it. @internal */
export interface ConfigurationState {
  current: () => ConfigurationObject | undefined;
  /** Number of the active configuration; -1 before the first. */
  number: () => number;
  getSnapshot: () => HeldConfiguration;
  /**
   * Adopts a candidate that has a higher number and passes the schema.
   *
   * @returns whether it was adopted.
   */
  adoptIfNewer: (candidate: unknown, source: ConfigurationSource) => boolean;
  /**
   * Records that the platform reported this number as current `ageMilliseconds` ago; ignored if the
   * active number is higher.
   */
  confirm: (confirmation: { number: number; ageMilliseconds: number }) => void;
}

/** @internal */
export interface ConfigurationStateOptions {
  now: () => number;
  record: RecordConfigurationEvent;
  onAdopted: (configurationObject: ConfigurationObject, source: ConfigurationSource) => void;
}

const NO_CONFIGURATION_NUMBER = -1;

/** @internal */
export function createConfigurationState(options: ConfigurationStateOptions): ConfigurationState {
  const { now, record, onAdopted } = options;
  let current: ConfigurationObject | undefined;
  let confirmedAt = -Infinity;

  function number(): number {
    return current?.number ?? NO_CONFIGURATION_NUMBER;
  }

  function adoptIfNewer(candidate: unknown, source: ConfigurationSource): boolean {
    const adoption = decideAdoption({ currentNumber: current?.number, candidate });
    if (adoption.status === 'invalid') {
      record({ name: 'configurationRefused', source, faults: adoption.faults });
    }
    if (adoption.status !== 'adopted') return false;
    current = adoption.configurationObject;
    record({ name: 'configurationAdopted', number: current.number, source });
    onAdopted(current, source);
    return true;
  }

  function confirm(confirmation: { number: number; ageMilliseconds: number }): void {
    if (confirmation.number < number()) return;
    confirmedAt = Math.max(confirmedAt, now() - confirmation.ageMilliseconds);
  }

  function getSnapshot(): HeldConfiguration {
    return { configurationObject: current, ageMilliseconds: now() - confirmedAt };
  }

  return { current: () => current, number, getSnapshot, adoptIfNewer, confirm };
}
