import { comparePositions } from '@wisterialift/schema';
import type { MemberStatus } from '@wisterialift/schema';
import { findLowestMajorityLogEnd } from '../engine/memberTable';

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
 * @param options.ballot - must contain the grants of a majority.
 * @param options.isDeprioritized - whether other eligible members are preferred to this one.
 * @returns the name of the member.
 * @internal
 */
export function chooseCandidate(options: {
  ballot: Ballot;
  majority: number;
  isDeprioritized: (member: string) => boolean;
}): string {
  const { ballot, majority, isDeprioritized } = options;
  const grants = [...ballot.grants].map(([member, { logEnd }]) => ({ member, logEnd }));
  const logEnds = grants.map(({ logEnd }) => logEnd);
  const bound = findLowestMajorityLogEnd(logEnds, majority);
  const eligible = grants.filter(({ logEnd }) => bound && comparePositions(logEnd, bound) >= 0);
  eligible.sort(
    (left, right) =>
      Number(isDeprioritized(left.member)) - Number(isDeprioritized(right.member)) ||
      comparePositions(right.logEnd, left.logEnd) ||
      left.member.localeCompare(right.member),
  );
  return (eligible[0] as (typeof eligible)[number]).member;
}
