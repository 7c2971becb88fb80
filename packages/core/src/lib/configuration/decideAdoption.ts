import { configurationObjectSchema } from '@wisterialift/schema';
import type { ConfigurationObject } from '@wisterialift/schema';
import { describeFaults } from './configurationFault';
import type { ConfigurationFault } from './configurationFault';

/** Result of checking a configuration received from the platform or a peer. @public */
export type AdoptionResult =
  | { status: 'adopted'; configurationObject: ConfigurationObject }
  /** The number does not exceed the current one, for example in a late or repeated message. */
  | { status: 'notHigher'; number: number }
  | { status: 'invalid'; faults: ConfigurationFault[] };

/**
 * Decides whether a received configuration replaces the current one.
 *
 * Accepts only complete, valid objects with a higher number, so that messages arriving out of order
 * revert nothing.
 *
 * @param options.currentNumber - current number; undefined before the first configuration.
 * @param options.candidate - received value, not yet validated.
 * @public
 */
export function decideAdoption(options: {
  currentNumber: number | undefined;
  candidate: unknown;
}): AdoptionResult {
  const { currentNumber = -1, candidate } = options;
  const result = configurationObjectSchema.safeParse(candidate);
  if (!result.success) return { status: 'invalid', faults: describeFaults(result.error) };
  const { number } = result.data;
  if (number <= currentNumber) return { status: 'notHigher', number };
  return { status: 'adopted', configurationObject: result.data };
}
