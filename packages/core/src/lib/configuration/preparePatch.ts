import { MAXIMUM_RETAINED_PATCHES, configurationSchema } from '@wisterialift/schema';
import type {
  AcceptedPatch,
  Configuration,
  ConfigurationObject,
  ConfigurationPatch,
} from '@wisterialift/schema';
import { describeFaults } from './configurationFault';
import type { ConfigurationFault } from './configurationFault';
import { findMemberChangeFaults, numberMemberSets, updateRemovedGroups } from './memberChanges';
import type { EstablishedMemberSets, RemovedGroups } from './memberChanges';
import { mergePatch } from './mergePatch';

/** Result of applying a patch to the current configuration. @public */
export type PreparedPatch =
  /** The object to store, provided that the stored object has not changed. */
  | { status: 'ready'; configurationObject: ConfigurationObject }
  /** The patch has already been accepted with this number. */
  | { status: 'alreadyAccepted'; number: number }
  /** The patch was created against a number other than the current one. */
  | { status: 'outdated'; presentNumber: number }
  | { status: 'invalid'; faults: ConfigurationFault[] };

/** Maximum size of the object as JSON; the platform stores values of up to one megabyte. */
const MAXIMUM_OBJECT_BYTES = 900_000;

/**
 * Validates a patch and applies it to the current configuration.
 *
 * The patch id is checked before the number, so that resubmitting an accepted patch succeeds.
 *
 * @param options.current - configuration object currently stored in the platform.
 * @param options.acceptedAt - ISO 8601 time; informational only.
 * @param options.establishedMemberSets - as seen by this instance; a group that is missing refuses changes
 *   of its members.
 * @public
 */
export function preparePatch(options: {
  current: ConfigurationObject;
  patch: ConfigurationPatch;
  acceptedAt: string;
  establishedMemberSets?: EstablishedMemberSets;
}): PreparedPatch {
  const { current, patch, acceptedAt, establishedMemberSets = {} } = options;
  const accepted = findAcceptedPatch(current, patch.patchId);
  if (accepted) return { status: 'alreadyAccepted', number: accepted.number };
  if (patch.againstNumber !== current.number) {
    return { status: 'outdated', presentNumber: current.number };
  }
  const result = configurationSchema.safeParse(mergePatch(current.configuration, patch.changes));
  if (!result.success) return { status: 'invalid', faults: describeFaults(result.error) };
  const { configuration: previous, removedGroups = {}, number } = current;
  const change = { previous, removedGroups, next: result.data };
  const faults = findMemberChangeFaults({ ...change, establishedMemberSets });
  if (faults.length > 0) return { status: 'invalid', faults };
  const configuration = numberMemberSets({ ...change, configurationNumber: number + 1 });
  const removed = updateRemovedGroups(previous, configuration, removedGroups);
  return checkSize(createNextObject({ current, patch, acceptedAt, configuration, removed }));
}

/** Finds an accepted patch in the object's patch history. @public */
export function findAcceptedPatch(
  configurationObject: ConfigurationObject,
  patchId: string,
): AcceptedPatch | undefined {
  return configurationObject.patches.find((accepted) => accepted.patchId === patchId);
}

function createNextObject(options: {
  current: ConfigurationObject;
  patch: ConfigurationPatch;
  acceptedAt: string;
  configuration: Configuration;
  removed: RemovedGroups;
}): ConfigurationObject {
  const { current, patch, acceptedAt, configuration, removed } = options;
  const { patchId, author } = patch;
  const number = current.number + 1;
  const patches = [...current.patches, { patchId, number, author, acceptedAt }];
  return {
    number,
    configuration,
    patches: patches.slice(-MAXIMUM_RETAINED_PATCHES),
    ...(Object.keys(removed).length > 0 ? { removedGroups: removed } : {}),
  };
}

function checkSize(configurationObject: ConfigurationObject): PreparedPatch {
  const { length } = new TextEncoder().encode(JSON.stringify(configurationObject));
  if (length <= MAXIMUM_OBJECT_BYTES) return { status: 'ready', configurationObject };
  const reason = `the whole would have ${length} bytes; at most ${MAXIMUM_OBJECT_BYTES} are accepted`;
  return { status: 'invalid', faults: [{ path: '', reason }] };
}
