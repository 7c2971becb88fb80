import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { shows } from '../engine/history';
import type { Member } from '../engine/memberTable';

/** What a member must show to serve a read. @internal */
export interface ReadNeed {
  /** Position that the member must have applied; undefined while it is not known. */
  floor: Position | undefined;
  /** The data may be as old as this time; undefined where age gives no right to serve. */
  notBefore: number | undefined;
  /** The session's own token, needed also where age alone would do. */
  token: Position | undefined;
  /** Member that failed the attempt before, avoided while another one serves. */
  avoid: string | undefined;
}

/** @internal */
export interface ReadRoute {
  member: Member;
  by: 'token' | 'floor' | 'staleness';
}

/** How good a member is for a read: lower goes first. */
interface Choice extends ReadRoute {
  rank: number;
  running: number;
}

const OWN_REPLICA = 0;
const OTHER_REPLICA = 1;
const PRIMARY = 2;
const AVOIDED = 4;

/**
 * Chooses the member for a read among those that have a free place.
 *
 * Replicas of the own data centre go first, then the other replicas, the primary last; among equals
 * the one with the fewest statements running.
 *
 * @returns undefined when no member with a free place may serve it.
 * @internal
 */
export function chooseReadMember(options: {
  candidates: readonly Member[];
  need: ReadNeed;
  dataCentre: string;
  primary: Member | undefined;
  /** Statements that run at the member. */
  runningAt: (member: Member) => number;
}): ReadRoute | undefined {
  const { candidates, need, dataCentre, primary, runningAt } = options;
  let best: Choice | undefined;
  for (const member of candidates) {
    const by = servesBy(member, need);
    if (!by) continue;
    const rank = rankOf(member, dataCentre, primary, need.avoid);
    const choice = { member, by, rank, running: runningAt(member) };
    if (!best || isBetter(choice, best)) best = choice;
  }
  return best;
}

/** On what ground the member may serve the read; undefined when it may not. @internal */
export function servesBy(member: Member, need: ReadNeed): ReadRoute['by'] | undefined {
  const { status } = member;
  if (!status) return undefined;
  if (need.token && !shows(status, need.token)) return undefined;
  if (need.notBefore !== undefined && member.freshAsOf >= need.notBefore) return 'staleness';
  if (need.floor && isAtMost(need.floor, status.applied)) return need.token ? 'token' : 'floor';
  return undefined;
}

function rankOf(
  member: Member,
  dataCentre: string,
  primary: Member | undefined,
  avoid: string | undefined,
): number {
  const penalty = member.name === avoid ? AVOIDED : 0;
  if (member === primary) return PRIMARY + penalty;
  return (member.database.dataCentre === dataCentre ? OWN_REPLICA : OTHER_REPLICA) + penalty;
}

function isBetter(choice: Choice, best: Choice): boolean {
  if (choice.rank !== best.rank) return choice.rank < best.rank;
  return choice.running < best.running;
}
