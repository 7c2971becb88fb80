import type { AcceptedPatch, ConfigurationObject } from '@wisterialift/schema';
import { findAcceptedPatch } from './preparePatch';

/** What a configuration object says about a patch that was sent before. @public */
export type PatchFinding =
  | { status: 'accepted'; patch: AcceptedPatch }
  /** Another patch took the number; this one can no longer take effect. */
  | { status: 'refused'; presentNumber: number }
  /** Not there yet: an update on its way may still take effect, and a repetition is safe. */
  | { status: 'pending'; presentNumber: number }
  /** So many patches came since that the object no longer remembers. */
  | { status: 'forgotten'; presentNumber: number };

/**
 * Settles a patch whose answer was lost, from the object as the platform holds it now.
 *
 * An update names the version that it expects. Once another patch took the number after
 * `againstNumber`, that version is gone and the update can never be applied, however late it
 * arrives; until then its absence proves nothing.
 *
 * @param options.againstNumber - number that the patch was made against; without it, a patch that is
 *   not found stays `pending`.
 * @public
 */
export function settlePatch(options: {
  configurationObject: ConfigurationObject;
  patchId: string;
  againstNumber?: number;
}): PatchFinding {
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
