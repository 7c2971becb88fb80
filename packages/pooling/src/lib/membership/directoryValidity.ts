import { computeAgeUpperBound } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/**
 * Longest time for which an instance relies on a directory snapshot to count a member's word, or that of a
 * group's only member. Covers most outages of the store.
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
 * Longest age of a directory snapshot by which a log position is learned without the primary. An instance
 * in touch with the directory learns of changes sooner.
 */
const MEMBER_LIST_VALIDITY_MILLISECONDS = 3_000;

/**
 * Time after which a member that joined is registered, so that its word counts: every instance that
 * learns a position without the primary lists it by then. The margin is that of `MEMBER_SETTLING_MILLISECONDS`.
 *
 * @public
 */
export const REGISTRATION_DELAY_MILLISECONDS = MEMBER_LIST_VALIDITY_MILLISECONDS + 1_500;

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
  return isYoungerThan(DIRECTORY_VALIDITY_MILLISECONDS, completeAt, now);
}

/**
 * Whether a directory snapshot that includes all changes before `completeAt` lists every member whose word
 * may have counted by now.
 *
 * @public
 */
export function isMemberListComplete(
  completeAt: ClockReadings | undefined,
  now: ClockReadings,
): boolean {
  return isYoungerThan(MEMBER_LIST_VALIDITY_MILLISECONDS, completeAt, now);
}

function isYoungerThan(
  limit: number,
  completeAt: ClockReadings | undefined,
  now: ClockReadings,
): boolean {
  return completeAt !== undefined && computeAgeUpperBound(completeAt, now) < limit;
}
