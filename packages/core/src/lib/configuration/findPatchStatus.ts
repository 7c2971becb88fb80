import type { AcceptedPatch, ConfigurationObject } from '@wisterialift/schema';
import { findAcceptedPatch } from './preparePatch';

/** Status of a submitted patch according to a configuration object. @public */
export type PatchStatusResult =
  | { status: 'accepted'; patch: AcceptedPatch }
  /** Another patch has the number after `againstNumber`; this one can no longer be applied. */
  | { status: 'refused'; presentNumber: number }
  /** Not applied yet; a delayed update may still be applied, and resubmitting is safe. */
  | { status: 'pending'; presentNumber: number }
  /** The patch history no longer covers this number. */
  | { status: 'forgotten'; presentNumber: number };

/**
 * Determines the status of a patch whose answer was lost, from the currently stored object.
 *
 * Updates are conditional: once another patch has the number after `againstNumber`, a delayed update
 * can no longer be applied. Until then a missing patch is `pending`.
 *
 * @param options.againstNumber - number that the patch was created against; if undefined, a missing
 *   patch is always `pending`.
 * @public
 */
export function findPatchStatus(options: {
  configurationObject: ConfigurationObject;
  patchId: string;
  againstNumber?: number;
}): PatchStatusResult {
  const { configurationObject, patchId, againstNumber } = options;
  const { number: presentNumber, patches } = configurationObject;
  const accepted = findAcceptedPatch(configurationObject, patchId);
  if (accepted) return { status: 'accepted', patch: accepted };
  if (againstNumber === undefined || presentNumber <= againstNumber) {
    return { status: 'pending', presentNumber };
  }
  const isRemembered = patches.some(({ number }) => number === againstNumber + 1);
  return { status: isRemembered ? 'refused' : 'forgotten', presentNumber };
}
