import { configurationObjectSchema } from '@wisterialift/schema';
import type { ConfigurationObject } from '@wisterialift/schema';
import { describeFaults } from './configurationFault';
import type { ConfigurationFault } from './configurationFault';

/** What becomes of a configuration that arrived from the platform or from a peer. @public */
export type Adoption =
  | { status: 'adopted'; configurationObject: ConfigurationObject }
  /** Not above the number in force, as with a late or repeated message. */
  | { status: 'notHigher'; number: number }
  | { status: 'invalid'; faults: ConfigurationFault[] };

/**
 * Decides whether a configuration that arrived replaces the one in force.
 *
 * Messages of watches, polls and peers overtake each other, and one of them may carry a number that
 * was replaced long ago. Only a higher number is taken, so that a configuration never reverts, and
 * only a whole object that passes the schema, so that half of one is never in force.
 *
 * @param options.currentNumber - number in force; undefined before the first.
 * @param options.candidate - what arrived, unchecked.
 * @public
 */
export function adoptConfiguration(options: {
  currentNumber: number | undefined;
  candidate: unknown;
}): Adoption {
  const { currentNumber = -1, candidate } = options;
  const result = configurationObjectSchema.safeParse(candidate);
  if (!result.success) return { status: 'invalid', faults: describeFaults(result.error) };
  const { number } = result.data;
  if (number <= currentNumber) return { status: 'notHigher', number };
  return { status: 'adopted', configurationObject: result.data };
}
