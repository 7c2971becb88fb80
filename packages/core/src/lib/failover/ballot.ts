import { comparePositions } from '@wisterialift/schema';
import type { MemberStatus } from '@wisterialift/schema';
import { findCoveringPosition } from '../engine/voters';
import type { VoteCount } from '../engine/voters';

/** Open requests of one failover, and the members that granted its term. @internal */
export interface Ballot {
  /** Members by control request identifier. */
  open: Map<number, string>;
  /** Status of each member when it recorded the term. */
  grants: Map<string, MemberStatus>;
  hasRefusal: boolean;
}

/** @internal */
export function createBallot(): Ballot {
  return { open: new Map(), grants: new Map(), hasRefusal: false };
}

/**
 * Chooses the member to promote among those that granted the term.
 *
 * Only members whose log end covers that of some majority are eligible, since they hold every
 * acknowledged write. The most advanced one wins, deprioritized members last.
 *
 * @param options.grants - of a majority.
 * @param options.isDeprioritized - whether other eligible members are preferred to this one.
 * @returns the name of the member.
 * @internal
 */
export function chooseCandidate(options: {
  grants: VoteCount;
  isDeprioritized: (member: string) => boolean;
}): string {
  const { grants, isDeprioritized } = options;
  const bound = findCoveringPosition(grants);
  const eligible = grants.statuses.filter(
    ({ logEnd }) => bound && comparePositions(logEnd, bound) >= 0,
  );
  eligible.sort(
    (left, right) =>
      Number(isDeprioritized(left.member)) - Number(isDeprioritized(right.member)) ||
      comparePositions(right.logEnd, left.logEnd) ||
      left.member.localeCompare(right.member),
  );
  return (eligible[0] as (typeof eligible)[number]).member;
}
