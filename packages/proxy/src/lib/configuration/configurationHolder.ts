import { adoptConfiguration } from '@wisterialift/core';
import type { ConfigurationSource } from '@wisterialift/core';
import type { HeldConfiguration } from '@wisterialift/peer';
import type { ConfigurationObject } from '@wisterialift/schema';
import type { RecordConfiguration } from './messages';

/** @internal */
export interface ConfigurationHolder {
  current: () => ConfigurationObject | undefined;
  /** Number in force; -1 before the first. */
  number: () => number;
  held: () => HeldConfiguration;
  /** Takes what arrived if it is higher and passes the schema; tells whether it did. */
  offer: (candidate: unknown, source: ConfigurationSource) => boolean;
  /** Notes that the platform called this number the present one so long ago. */
  confirm: (confirmation: { number: number; ageMilliseconds: number }) => void;
}

/** @internal */
export interface ConfigurationHolderOptions {
  now: () => number;
  record: RecordConfiguration;
  onAdopted: (configurationObject: ConfigurationObject, source: ConfigurationSource) => void;
}

const NOTHING_HELD_NUMBER = -1;

/** Holds the configuration in force and what is known of its age. @internal */
export function createConfigurationHolder(
  options: ConfigurationHolderOptions,
): ConfigurationHolder {
  const { now, record, onAdopted } = options;
  let current: ConfigurationObject | undefined;
  let confirmedAt = -Infinity;

  function number(): number {
    return current?.number ?? NOTHING_HELD_NUMBER;
  }

  function offer(candidate: unknown, source: ConfigurationSource): boolean {
    const adoption = adoptConfiguration({ currentNumber: current?.number, candidate });
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

  function held(): HeldConfiguration {
    return { configurationObject: current, ageMilliseconds: now() - confirmedAt };
  }

  return { current: () => current, number, held, offer, confirm };
}
