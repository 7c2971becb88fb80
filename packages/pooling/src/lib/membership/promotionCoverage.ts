import type { DepartedMembers } from './departedMembers';
import { subtractMembers } from './memberRegister';
import type { RegisteredMember } from './memberRegister';

/** Whether one of the members that were paused can be promoted. @public */
export type PromotionCoverage =
  | { type: 'covered' }
  /** Members that may alone hold acknowledged commits, or may still confirm some, are awaited. */
  | { type: 'deferred'; memberIds: string[] }
  /** They have been away for too long. */
  | { type: 'givenUp'; memberIds: string[] };

/** @public */
export interface PromotionCoverageOptions {
  registered: readonly RegisteredMember[];
  /** Members that were paused, so that they confirm nothing more. */
  paused: readonly RegisteredMember[];
  /**
   * Whether the primary answers. What its replicas hold can be compared with its log then, so nothing
   * need be given up before the departed members time out.
   */
  isPrimaryResponsive: boolean;
  departures: Pick<
    DepartedMembers,
    'isCovered' | 'isCoveredForGood' | 'isTimedOut' | 'isUncounted'
  >;
  now: number;
}

/**
 * Decides whether the logs of `paused`, taken together, hold every commit that is acknowledged before
 * one of them leads.
 *
 * A member that departed may still run. As long as an instance counts its word, it may confirm commits of
 * the primary that the paused members do not receive, so it is awaited until it is paused or nobody
 * counts it.
 *
 * @public
 */
export function assessPromotionCoverage({
  registered,
  paused,
  isPrimaryResponsive,
  departures,
  now,
}: PromotionCoverageOptions): PromotionCoverage {
  const unaccounted = subtractMembers(registered, paused).filter(
    (member) => !departures.isCoveredForGood(member, paused),
  );
  // One of them may be the former primary: another registered member holds its commits.
  if (unaccounted.length <= 1) return { type: 'covered' };
  const memberIds = unaccounted.map(({ memberId }) => memberId);
  const isGivenUp = (member: RegisteredMember) =>
    departures.isTimedOut(member, now) ||
    (!isPrimaryResponsive &&
      departures.isUncounted(member, now) &&
      departures.isCovered(member, paused));
  const awaited = unaccounted.filter((member) => !isGivenUp(member));
  return { type: awaited.length > 1 ? 'deferred' : 'givenUp', memberIds };
}
