import { comparePositions } from '@wisterialift/schema';
import type { MemberStatus } from '@wisterialift/schema';
import { lowestMajorityEnd } from '../engine/memberTable';

/** The orders of one change of primary whose answers are awaited, and the grants that came. @internal */
export interface Ballot {
  /** Member by question identifier. */
  open: Map<number, string>;
  /** What each member held when it recorded the term. */
  grants: Map<string, MemberStatus>;
  hasRefusal: boolean;
}

/** @internal */
export function emptyBallot(): Ballot {
  return { open: new Map(), grants: new Map(), hasRefusal: false };
}

/**
 * Chooses whom to promote among the members that granted the term.
 *
 * A candidate's log end is at or above that of every member of some majority of the grants, so it
 * holds every acknowledged write. Among those the furthest one goes first, members that are not
 * wanted last.
 *
 * @param options.isUnwanted - whether another candidate should go before this one.
 * @returns the member's name; the ballot must hold a majority of grants.
 * @internal
 */
export function chooseCandidate(options: {
  ballot: Ballot;
  majority: number;
  isUnwanted: (member: string) => boolean;
}): string {
  const { ballot, majority, isUnwanted } = options;
  const grants = [...ballot.grants].map(([member, { logEnd }]) => ({ member, logEnd }));
  const logEnds = grants.map(({ logEnd }) => logEnd);
  const bound = lowestMajorityEnd(logEnds, majority);
  const eligible = grants.filter(({ logEnd }) => bound && comparePositions(logEnd, bound) >= 0);
  eligible.sort(
    (left, right) =>
      Number(isUnwanted(left.member)) - Number(isUnwanted(right.member)) ||
      comparePositions(right.logEnd, left.logEnd) ||
      left.member.localeCompare(right.member),
  );
  return (eligible[0] as (typeof eligible)[number]).member;
}
