import { REMEMBERED_PATCHES, configurationSchema } from '@wisterialift/schema';
import type {
  AcceptedPatch,
  Configuration,
  ConfigurationObject,
  ConfigurationPatch,
} from '@wisterialift/schema';
import { describeFaults } from './configurationFault';
import type { ConfigurationFault } from './configurationFault';
import { findMemberFaults } from './memberChanges';
import { mergePatch } from './mergePatch';

/** What a patch comes to when it meets the present configuration. @public */
export type PreparedPatch =
  /** To be stored under the condition that the object has not changed. */
  | { status: 'ready'; configurationObject: ConfigurationObject }
  /** The same patch was accepted before, at this number; there is nothing to store. */
  | { status: 'alreadyAccepted'; number: number }
  /** Made against a number that is no longer the present one. */
  | { status: 'outdated'; presentNumber: number }
  | { status: 'invalid'; faults: ConfigurationFault[] };

/** Largest configuration object as JSON; the platform holds values up to a megabyte. */
const MAXIMUM_OBJECT_BYTES = 900_000;

/**
 * Decides what a patch comes to. A patch is taken whole or not at all.
 *
 * The patch id is looked at before the number: a patch whose first answer was lost is accepted
 * when it is submitted again, and not refused because of the number that it brought itself.
 *
 * @param options.current - the configuration object as the platform holds it now.
 * @param options.acceptedAt - ISO 8601 time, for people only.
 * @public
 */
export function preparePatch(options: {
  current: ConfigurationObject;
  patch: ConfigurationPatch;
  acceptedAt: string;
}): PreparedPatch {
  const { current, patch, acceptedAt } = options;
  const accepted = findAcceptedPatch(current, patch.patchId);
  if (accepted) return { status: 'alreadyAccepted', number: accepted.number };
  if (patch.againstNumber !== current.number) {
    return { status: 'outdated', presentNumber: current.number };
  }
  const result = configurationSchema.safeParse(mergePatch(current.configuration, patch.changes));
  if (!result.success) return { status: 'invalid', faults: describeFaults(result.error) };
  const faults = findMemberFaults(current.configuration, result.data);
  if (faults.length > 0) return { status: 'invalid', faults };
  return checkLength(nextObject({ current, patch, acceptedAt, configuration: result.data }));
}

/** Finds an accepted patch among those that the object remembers. @public */
export function findAcceptedPatch(
  configurationObject: ConfigurationObject,
  patchId: string,
): AcceptedPatch | undefined {
  return configurationObject.patches.find((accepted) => accepted.patchId === patchId);
}

function nextObject(options: {
  current: ConfigurationObject;
  patch: ConfigurationPatch;
  acceptedAt: string;
  configuration: Configuration;
}): ConfigurationObject {
  const { current, patch, acceptedAt, configuration } = options;
  const { patchId, author } = patch;
  const number = current.number + 1;
  const patches = [...current.patches, { patchId, number, author, acceptedAt }];
  return { number, configuration, patches: patches.slice(-REMEMBERED_PATCHES) };
}

function checkLength(configurationObject: ConfigurationObject): PreparedPatch {
  const { length } = new TextEncoder().encode(JSON.stringify(configurationObject));
  if (length <= MAXIMUM_OBJECT_BYTES) return { status: 'ready', configurationObject };
  const reason = `the whole would have ${length} bytes; at most ${MAXIMUM_OBJECT_BYTES} are accepted`;
  return { status: 'invalid', faults: [{ path: '', reason }] };
}
