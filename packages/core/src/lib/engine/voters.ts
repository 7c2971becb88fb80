import { comparePositions, getHigherPosition, lookUp } from '@wisterialift/schema';
import type { MemberStatus, Position, Voters } from '@wisterialift/schema';

/** What answers of several members count for. @internal */
export interface VoteCount {
  /** Whether they are of a majority of the members, and of a majority of the voters. */
  isMajority: boolean;
  /** The answers of voters. */
  statuses: MemberStatus[];
  /** Number of voters that form a majority. */
  majority: number;
  /** The log entry that names the voters; the first position if none does. */
  votersAt: Position;
}

/**
 * Returns the lowest log position that is known to cover every acknowledged write.
 *
 * Each acknowledged write is stored by a majority, so the highest log end of any majority covers it;
 * the majority with the lowest log ends gives the tightest bound. What was confirmed with an incarnation that
 * the voters name no more is before the entry that names them.
 *
 * @returns undefined without a majority.
 * @internal
 */
export function findCoveringPosition(votes: VoteCount): Position | undefined {
  if (!votes.isMajority) return undefined;
  const logEnds = votes.statuses.map(({ logEnd }) => logEnd);
  const bound = logEnds.sort(comparePositions)[votes.majority - 1] as Position;
  return getHigherPosition(bound, votes.votersAt);
}

/**
 * Returns the newest voters that a log names, that of one of them. An entry that none of its voters holds
 * tells nothing.
 *
 * @internal
 */
export function findNewestVoters(statuses: readonly MemberStatus[]): Voters | undefined {
  let newest: Voters | undefined;
  statuses.forEach((status) => {
    const { voters } = status;
    if (!voters || !isNamed(status, voters)) return;
    if (!newest || comparePositions(voters.position, newest.position) > 0) newest = voters;
  });
  return newest;
}

/** Whether the voters name the incarnation; one whose log names later voters is not counted by former ones. @internal */
export function isVoter(status: MemberStatus, voters: Voters): boolean {
  const isLater = status.voters && comparePositions(status.voters.position, voters.position) > 0;
  return !isLater && isNamed(status, voters);
}

function isNamed({ member, incarnation }: MemberStatus, { incarnations }: Voters): boolean {
  return lookUp(incarnations, member) === incarnation;
}
