import { comparePositions } from '@wisterialift/schema';
import type { HeldWrite } from '../acknowledgement/confirmationTracker';
import { hasAnswered, termOf } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';
import type { SuspicionCause } from '../engine/messages';
import type { Suspicion } from './failoverMachine';

/** Times that decide when a primary counts as failed, in milliseconds. @internal */
export interface DetectionTimes {
  suspicionMilliseconds: number;
  /** A write unconfirmed for this long while the other members stand still. */
  unconfirmedMilliseconds: number;
  /** How long a member may stay out of reach of the present term. */
  strandedMilliseconds: number;
  /** How long every instance has to hear that the primary is leaving before it is replaced. */
  handoverGraceMilliseconds: number;
}

/** @internal */
export interface PrimaryDetector {
  /** What speaks against the present primary; undefined while nothing does. */
  findSuspicion: (now: number) => Suspicion | undefined;
  /** Whether a suspicion raised before still stands; stricter in time limits than raising it. */
  stillStands: (suspicion: Suspicion, now: number) => boolean;
  onPaused: (now: number) => void;
  /** A write was confirmed this long after it had completed. */
  onConfirmed: (waitedMilliseconds: number) => void;
  /** Another primary was learned. */
  onPrimaryChanged: () => void;
}

/** Questions in a row that must have failed before a member counts as silent. */
const FAILURES_OF_A_SILENT_MEMBER = 2;
/** Refused connections in a row that tell a dead process from a slow link. @internal */
export const REFUSALS_OF_A_DEAD_MEMBER = 3;
/** Part of the suspicion time after which a dead process counts as silent. */
const DEAD_MEMBER_SHARE = 0.5;
/** Extensions of the time for unconfirmed writes at most. */
const MAXIMUM_EXTENSIONS = 3;
/** What one extension multiplies that time by. */
const EXTENSION_FACTOR = 4;
/** Log entries by which the successor of a leaving primary may be behind when the change starts. */
const HANDOVER_LAG_ENTRIES = 100;

/**
 * Creates the detector of failed primaries. It measures; it decides nothing.
 *
 * - `silent`: no answer for the suspicion time, several questions in a row failed (one lost answer
 *   shows as one failure), a majority of the others answers, and the furthest replica stands still.
 *   A replica that moves on has heard from the primary, so only this instance's link to it is bad.
 *   Where nothing listens at its address any more, half the time is enough: a link that loses or
 *   delays packets does not refuse connections.
 * - `unconfirmed`: the primary answers, a write has waited, and enough members to fence without the
 *   primary answer while their logs stand still. That is a primary cut from its group. A lagging
 *   replica alone never matches: the other one moves. Where all of them lag longer than that, each
 *   change of primary in which no write was confirmed extends the time, so that a slow group is not
 *   taken through one primary after the other.
 * - `absent`: a majority answers and none is the primary of the known term, for example after a
 *   promoter died between fencing and promoting.
 * - `leaving`: the primary is to go and a successor has caught up.
 * - `stranded`: a member recorded a higher term than the primary's, in a change of primary that came
 *   to nothing. It refuses the log until the group has a term above its own.
 *
 * @internal
 */
export function createPrimaryDetector(options: {
  members: MemberTable;
  times: DetectionTimes;
  oldestHeldWrite: () => HeldWrite | undefined;
}): PrimaryDetector {
  const { members, times, oldestHeldWrite } = options;
  const since = new Map<SuspicionCause, number>();
  let extensions = 0;

  function hasLasted(cause: SuspicionCause, holds: boolean, time: number, now: number): boolean {
    if (!holds) {
      since.delete(cause);
      return false;
    }
    const start = since.get(cause) ?? now;
    since.set(cause, start);
    return now - start >= time;
  }

  function answering(list: readonly Member[], now: number): Member[] {
    return list.filter((member) => hasAnswered(member, times.suspicionMilliseconds, now));
  }

  function othersThan(primary: Member): Member[] {
    return members.list().filter((member) => member !== primary);
  }

  function hasMajority(list: Member[]): boolean {
    return list.length >= members.majority();
  }

  function isSilent(member: Member, now: number): boolean {
    if (member.failedQuestions < FAILURES_OF_A_SILENT_MEMBER) return false;
    return now - member.silentSince >= silenceOf(member);
  }

  function silenceOf({ unreachableQuestions }: Member): number {
    const isDead = unreachableQuestions >= REFUSALS_OF_A_DEAD_MEMBER;
    return times.suspicionMilliseconds * (isDead ? DEAD_MEMBER_SHARE : 1);
  }

  function hasMovingReplica(primary: Member, now: number): boolean {
    const furthest = othersThan(primary)
      .filter((member) => termOf(member) === termOf(primary))
      .sort((left, right) => comparePositions(logEndOf(right), logEndOf(left)))[0];
    if (!furthest || !hasAnswered(furthest, times.suspicionMilliseconds, now)) return false;
    return now - furthest.logAdvancedAt < silenceOf(primary);
  }

  function isPrimarySilent(primary: Member, now: number): boolean {
    if (!isSilent(primary, now)) return false;
    if (!hasMajority(answering(othersThan(primary), now))) return false;
    return !hasMovingReplica(primary, now);
  }

  function isCutFromGroup(primary: Member, now: number): boolean {
    const write = oldestHeldWrite();
    if (!write || write.term !== termOf(primary)) return false;
    const patience = times.unconfirmedMilliseconds * EXTENSION_FACTOR ** extensions;
    if (now - write.completedAt < patience) return false;
    if (!hasAnswered(primary, times.suspicionMilliseconds, now)) return false;
    const standingStill = answering(othersThan(primary), now).filter(
      (member) =>
        now - member.logAdvancedAt >= patience &&
        comparePositions(logEndOf(member), logEndOf(primary)) < 0,
    );
    return hasMajority(standingStill);
  }

  function hasSuccessor(primary: Member, now: number): boolean {
    return answering(othersThan(primary), now).some(
      (member) =>
        !member.database.leaving &&
        termOf(member) === termOf(primary) &&
        logEndOf(member).index + HANDOVER_LAG_ENTRIES >= logEndOf(primary).index,
    );
  }

  function findStranded(primary: Member, now: number): Member | undefined {
    return answering(othersThan(primary), now).find((member) => termOf(member) > termOf(primary));
  }

  function findSuspicion(now: number): Suspicion | undefined {
    const primary = members.primary();
    const isAbsent = !primary && hasMajority(answering(members.list(), now));
    if (hasLasted('absent', isAbsent, times.suspicionMilliseconds, now)) {
      return { cause: 'absent', member: '' };
    }
    return primary && findFault(primary, now);
  }

  function findFault(primary: Member, now: number): Suspicion | undefined {
    const { name, database } = primary;
    const isLeaving = hasLasted('leaving', database.leaving, times.handoverGraceMilliseconds, now);
    const stranded = findStranded(primary, now);
    const isStranded = hasLasted('stranded', !!stranded, times.strandedMilliseconds, now);
    if (isPrimarySilent(primary, now)) return { cause: 'silent', member: name };
    if (isCutFromGroup(primary, now)) return { cause: 'unconfirmed', member: name };
    if (isLeaving && hasSuccessor(primary, now)) return { cause: 'leaving', member: name };
    if (isStranded && stranded) return { cause: 'stranded', member: stranded.name };
    return undefined;
  }

  const standing: Record<SuspicionCause, (suspicion: Suspicion, now: number) => boolean> = {
    silent: ({ member }, now) => {
      const primary = members.primary();
      return !primary || (primary.name === member && isPrimarySilent(primary, now));
    },
    unconfirmed: ({ member }, now) => {
      const primary = members.primary();
      return !primary || (primary.name === member && isCutFromGroup(primary, now));
    },
    absent: () => !members.primary(),
    leaving: ({ member }, now) => {
      const primary = members.primary();
      if (!primary) return true;
      return primary.name === member && primary.database.leaving && hasSuccessor(primary, now);
    },
    stranded: (_suspicion, now) => {
      const primary = members.primary();
      return !primary || findStranded(primary, now) !== undefined;
    },
  };

  return {
    findSuspicion,
    stillStands: (suspicion, now) => standing[suspicion.cause](suspicion, now),
    onPaused: () => since.clear(),
    onConfirmed: (waitedMilliseconds) => {
      if (waitedMilliseconds < times.unconfirmedMilliseconds) extensions = 0;
    },
    onPrimaryChanged: () => {
      if (oldestHeldWrite()) extensions = Math.min(extensions + 1, MAXIMUM_EXTENSIONS);
    },
  };
}

const NOWHERE = { term: 0, index: 0 };

function logEndOf(member: Member) {
  return member.status?.logEnd ?? NOWHERE;
}
