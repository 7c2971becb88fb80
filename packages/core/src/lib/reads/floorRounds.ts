import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { lowestMajorityEnd } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';

/** One look at the group that serves every read which arrived before its first question. @internal */
export interface FloorRound {
  /** Answers count from this question on. */
  firstQuestionId: number;
  /** A member that has applied this shows every write acknowledged before the round. */
  floor: Position | undefined;
  /** Highest term that an answer of the round carried. */
  term: number;
  /** Reads that still need the round. */
  readers: number;
}

/** @internal */
export interface FloorRounds {
  /** The round for a read that arrives now. */
  join: (nextQuestionId: number) => FloorRound;
  leave: (round: FloorRound) => void;
  /** Takes a new answer into account. */
  onAnswered: (member: Member) => void;
  /** First question of the newest round that has no floor yet; 0 when there is none. */
  newestOpen: () => number;
}

/**
 * Creates the rounds that give a read without a token its floor.
 *
 * Guards against a session that wrote through one instance and reads through another: its write
 * would be missing from the answer of a lagging replica. The write was acknowledged before the read
 * arrived, so a majority holds it; the round asks after the arrival, and of every majority among the
 * answers at least one member holds it.
 *
 * The floor of a round only falls: each further majority proves a bound of its own, and the lowest
 * one is enough.
 *
 * @internal
 */
export function createFloorRounds(members: MemberTable): FloorRounds {
  let rounds: FloorRound[] = [];

  function join(nextQuestionId: number): FloorRound {
    const newest = rounds.at(-1);
    if (newest?.firstQuestionId === nextQuestionId) {
      newest.readers += 1;
      return newest;
    }
    const round = { firstQuestionId: nextQuestionId, floor: undefined, term: 0, readers: 1 };
    rounds.push(round);
    return round;
  }

  function leave(round: FloorRound): void {
    Object.assign(round, { readers: round.readers - 1 });
    if (round.readers === 0) rounds = rounds.filter((other) => other !== round);
  }

  function onAnswered(member: Member): void {
    for (const round of rounds) {
      if (round.firstQuestionId > member.statusQuestionId) return;
      updateRound(round, members);
    }
  }

  function newestOpen(): number {
    return rounds.findLast(({ floor }) => floor === undefined)?.firstQuestionId ?? 0;
  }

  return { join, leave, onAnswered, newestOpen };
}

function updateRound(round: FloorRound, members: MemberTable): void {
  const logEnds: Position[] = [];
  let { term } = round;
  for (const { status, statusQuestionId } of members.list()) {
    if (!status || statusQuestionId < round.firstQuestionId) continue;
    logEnds.push(status.logEnd);
    term = Math.max(term, status.currentTerm);
  }
  const bound = lowestMajorityEnd(logEnds, members.majority());
  const isLower = bound && (!round.floor || comparePositions(bound, round.floor) < 0);
  Object.assign(round, { term, floor: isLower ? bound : round.floor });
}
