import type { ConfigurationObject } from '@wisterialift/schema';

/** What is in force before the first patch: number 0, with no groups and no callers. @public */
export const EMPTY_CONFIGURATION_OBJECT: ConfigurationObject = {
  number: 0,
  configuration: { groups: {}, callers: {}, kinds: {}, serviceLevels: [] },
  patches: [],
};
