import type { DepartedMembers } from './departedMembers';
import { subtractMembers } from './memberRegister';
import type { RegisteredMember } from './memberRegister';

/** Whether one of the members that answered can be promoted. @public */
export type PromotionCoverage =
  | { type: 'covered' }
  /** Members that may alone hold acknowledged commits are awaited. */
  | { type: 'deferred'; memberIds: string[] }
  /** They have been away for too long. */
  | { type: 'givenUp'; memberIds: string[] };

/**
 * Decides whether the logs of `answered`, taken together, hold every acknowledged commit.
 *
 * @public
 */
export function assessPromotionCoverage({
  registered,
  answered,
  departures,
  now,
}: {
  registered: readonly RegisteredMember[];
  answered: readonly RegisteredMember[];
  departures: Pick<DepartedMembers, 'isCovered' | 'isUncounted'>;
  now: number;
}): PromotionCoverage {
  const unaccounted = subtractMembers(registered, answered).filter(
    (member) => !departures.isCovered(member, answered),
  );
  // One of them may be the former primary: another registered member holds its commits.
  if (unaccounted.length <= 1) return { type: 'covered' };
  const memberIds = unaccounted.map(({ memberId }) => memberId);
  const awaited = unaccounted.filter((member) => !departures.isUncounted(member, now));
  return { type: awaited.length > 1 ? 'deferred' : 'givenUp', memberIds };
}
