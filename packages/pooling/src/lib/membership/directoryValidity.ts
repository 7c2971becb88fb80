import { computeAgeUpperBound } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/**
 * Longest time for which an instance relies on a directory snapshot that lists a single member of a
 * group. Covers most outages of the store.
 */
const DIRECTORY_VALIDITY_MILLISECONDS = 10_000;

/**
 * Time after which every instance that still relies on its directory snapshot knows a member that
 * joined. The margin covers a watch that misses the changes of its last second.
 *
 * @public
 */
export const MEMBER_SETTLING_MILLISECONDS = DIRECTORY_VALIDITY_MILLISECONDS + 1_500;

/**
 * Time after which no instance counts the word of a member that the directory no longer lists: an
 * instance relies on a snapshot for its validity and keeps a missing member for up to 2.5 s.
 *
 * @public
 */
export const DEPARTURE_SETTLING_MILLISECONDS = DIRECTORY_VALIDITY_MILLISECONDS + 3_500;

/**
 * Whether a directory snapshot that includes all changes before `completeAt` can be relied on to
 * list every member of a group.
 *
 * @public
 */
export function isDirectoryValid(
  completeAt: ClockReadings | undefined,
  now: ClockReadings,
): boolean {
  if (!completeAt) return false;
  return computeAgeUpperBound(completeAt, now) < DIRECTORY_VALIDITY_MILLISECONDS;
}
