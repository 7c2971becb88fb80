import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { hasApplied } from '../engine/logHistory';
import type { Member } from '../engine/memberTable';

/** Conditions that a member must meet to serve a read. @internal */
export interface ReadRequirement {
  /** Minimum applied position; undefined while unknown. */
  floor: Position | undefined;
  /** Oldest accepted time of the data on the age clock; undefined if stale reads are not allowed. */
  freshSince: number | undefined;
  /** Position of the session token, required even for stale reads. */
  token: Position | undefined;
  /** Member that failed the previous attempt; used only if no other member is eligible. */
  avoidedMember: string | undefined;
}

/** @internal */
export interface ReadRoute {
  member: Member;
  by: 'token' | 'floor' | 'staleness';
}

/** A route with its preference; lower ranks are preferred. */
interface RankedRoute extends ReadRoute {
  rank: number;
  running: number;
}

const LOCAL_REPLICA_RANK = 0;
const REMOTE_REPLICA_RANK = 1;
const PRIMARY_RANK = 2;
const AVOIDED_MEMBER_PENALTY = 4;

/**
 * Chooses the member for a read among candidates with free capacity: first replicas of the data centre,
 * other replicas, then the primary; ties go to the fewest running statements.
 *
 * @returns undefined if no candidate is eligible.
 * @internal
 */
export function chooseReadMember(options: {
  candidates: readonly Member[];
  read: ReadRequirement;
  dataCentre: string;
  primary: Member | undefined;
  /** Returns the number of statements running at a member. */
  runningAt: (member: Member) => number;
}): ReadRoute | undefined {
  const { candidates, read, dataCentre, primary, runningAt } = options;
  let best: RankedRoute | undefined;
  for (const member of candidates) {
    const by = findReadEligibility(member, read);
    if (!by) continue;
    const rank = computeRank(member, dataCentre, primary, read.avoidedMember);
    const choice = { member, by, rank, running: runningAt(member) };
    if (!best || isBetter(choice, best)) best = choice;
  }
  return best;
}

/** Returns the condition by which a member may serve a read; undefined if it may not. @internal */
export function findReadEligibility(
  member: Member,
  read: ReadRequirement,
): ReadRoute['by'] | undefined {
  const { status } = member;
  if (!status) return undefined;
  if (read.token && !hasApplied(status, read.token)) return undefined;
  if (read.freshSince !== undefined && member.freshAsOf >= read.freshSince) return 'staleness';
  if (read.floor && isAtMost(read.floor, status.applied)) return read.token ? 'token' : 'floor';
  return undefined;
}

function computeRank(
  member: Member,
  dataCentre: string,
  primary: Member | undefined,
  avoidedMember: string | undefined,
): number {
  const penalty = member.name === avoidedMember ? AVOIDED_MEMBER_PENALTY : 0;
  if (member === primary) return PRIMARY_RANK + penalty;
  return (
    (member.database.dataCentre === dataCentre ? LOCAL_REPLICA_RANK : REMOTE_REPLICA_RANK) + penalty
  );
}

function isBetter(choice: RankedRoute, best: RankedRoute): boolean {
  if (choice.rank !== best.rank) return choice.rank < best.rank;
  return choice.running < best.running;
}
