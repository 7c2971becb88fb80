import { computeAgeUpperBound } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';

/**
 * Longest time for which an instance relies on a directory snapshot for the word of a group's only
 * member. Covers most outages of the store.
 */
const DIRECTORY_VALIDITY_MILLISECONDS = 10_000;

/**
 * Longest time for which an instance counts a member's word by a directory snapshot that lists it.
 * A promotion that cannot pause a departed member waits for this long, so it is shorter than the time
 * for which a leaving primary serves. An instance in touch with the directory has a younger one.
 */
const LISTING_VALIDITY_MILLISECONDS = 4_000;

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
 * Time after which no instance counts the word of a member that the directory no longer lists. The
 * margin covers clocks that drift.
 *
 * @public
 */
export const DEPARTURE_SETTLING_MILLISECONDS = LISTING_VALIDITY_MILLISECONDS + 500;

/**
 * Time after which departed members that may alone hold acknowledged commits are given up. Covers the
 * return of a member that was out of reach for some seconds.
 *
 * @public
 */
export const DEPARTURE_TIMEOUT_MILLISECONDS = 13_500;

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
 * Whether a member's word can count by its entry in a directory snapshot that includes all changes before
 * `completeAt`.
 *
 * @public
 */
export function isListingValid(completeAt: ClockReadings | undefined, now: ClockReadings): boolean {
  return isYoungerThan(LISTING_VALIDITY_MILLISECONDS, completeAt, now);
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
