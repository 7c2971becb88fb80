import type { ConfigurationObject } from '@wisterialift/schema';

/** Initial configuration, before the first patch. @public */
export const EMPTY_CONFIGURATION_OBJECT: ConfigurationObject = {
  number: 0,
  configuration: { groups: {}, callers: {}, kinds: {}, serviceLevels: [] },
  patches: [],
};
