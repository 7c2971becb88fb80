import { comparePositions } from '@wisterialift/schema';
import type { MemberStatus, Position } from '@wisterialift/schema';
import type { Member, MemberTable } from '../engine/memberTable';
import { findCoveringPosition } from '../engine/voters';

/**
 * A round of status requests to all members, shared by the reads that arrived before its first request.
 * A majority's answers give the floor: the minimum position of these reads.
 *
 * @internal
 */
export interface FloorRound {
  /** First status request of the round; earlier answers are ignored. */
  firstControlRequestId: number;
  /** Upper bound of the writes acknowledged before the round; undefined until a majority answers. */
  floor: Position | undefined;
  /** Highest term reported in the round. */
  term: number;
  /** Number of reads that use the round. */
  readers: number;
}

/** @internal */
export interface FloorRounds {
  /** Returns the round for a new read; call `leave` when the read ends. */
  join: (nextControlRequestId: number) => FloorRound;
  leave: (round: FloorRound) => void;
  /** Updates the rounds with a new answer. */
  onAnswered: (member: Member) => void;
  /** Returns the first status request of the newest round without a floor; 0 if there is none. */
  findNewestPendingRoundStart: () => number;
}

/**
 * Creates the rounds that determine the floor of reads without a token.
 *
 * Preserves read-your-writes for sessions that write through another instance: a majority holds each
 * acknowledged write and overlaps with any majority polled after the read arrived. Each majority
 * gives a valid bound, so further answers only lower the floor. An answer in a term of a later list of
 * members does not count: a majority of that list may share no member with one of the list in use.
 *
 * @internal
 */
export function createFloorRounds(members: MemberTable): FloorRounds {
  let rounds: FloorRound[] = [];

  function join(nextControlRequestId: number): FloorRound {
    const newest = rounds.at(-1);
    if (newest?.firstControlRequestId === nextControlRequestId) {
      newest.readers += 1;
      return newest;
    }
    const round = {
      firstControlRequestId: nextControlRequestId,
      floor: undefined,
      term: 0,
      readers: 1,
    };
    rounds.push(round);
    return round;
  }

  function leave(round: FloorRound): void {
    Object.assign(round, { readers: round.readers - 1 });
    if (round.readers === 0) rounds = rounds.filter((other) => other !== round);
  }

  function onAnswered(member: Member): void {
    for (const round of rounds) {
      if (round.firstControlRequestId > member.statusControlRequestId) return;
      updateRound(round, members);
    }
  }

  function findNewestPendingRoundStart(): number {
    return rounds.findLast(({ floor }) => floor === undefined)?.firstControlRequestId ?? 0;
  }

  return { join, leave, onAnswered, findNewestPendingRoundStart };
}

function updateRound(round: FloorRound, members: MemberTable): void {
  const answered: MemberStatus[] = [];
  let { term } = round;
  for (const member of members.list()) {
    const { status, statusControlRequestId } = member;
    if (!status || statusControlRequestId < round.firstControlRequestId) continue;
    if (members.isCounted(member)) answered.push(status);
    term = Math.max(term, status.currentTerm);
  }
  const bound = findCoveringPosition(members.countVotes(answered));
  const isLower = bound && (!round.floor || comparePositions(bound, round.floor) < 0);
  Object.assign(round, { term, floor: isLower ? bound : round.floor });
}
