import { comparePositions } from '@wisterialift/schema';
import type { PendingWrite } from '../acknowledgement/confirmationTracker';
import { getMemberSet } from '../engine/memberSet';
import { hasRespondedWithin, getTerm } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';
import type { SuspicionCause } from '../engine/messages';
import type { Suspicion } from './failoverMachine';

/** Thresholds of failure detection. @internal */
export interface DetectionTimes {
  suspicionMilliseconds: number;
  /** How long a write may stay unconfirmed while the logs of the other members do not advance. */
  unconfirmedMilliseconds: number;
  /** How long a member may have a higher term than the primary. */
  strandedMilliseconds: number;
  /** Delay of a planned change of term, for all instances to learn what causes it. */
  handoverAnnouncementMilliseconds: number;
}

/** @internal */
export interface PrimaryFailureDetector {
  /** Returns the reason for replacing the primary, if any. */
  findSuspicion: (now: number) => Suspicion | undefined;
  /** Whether the suspicion still holds. */
  isStillSuspected: (suspicion: Suspicion, now: number) => boolean;
  onPaused: (now: number) => void;
  /** Called when a write is confirmed, with the time since its completion. */
  onConfirmed: (waitedMilliseconds: number) => void;
  onPrimaryChanged: () => void;
}

/** Consecutive failed requests before a member is considered silent; one may be a lost packet. */
const SILENT_MEMBER_FAILURES = 2;
/** Consecutive refused connections before a member's process is considered dead. @internal */
export const DEAD_MEMBER_CONNECTION_REFUSALS = 3;
/** Shortens the suspicion time for dead processes: a slow or lossy link does not refuse connections. */
const DEAD_MEMBER_FACTOR = 0.5;
const MAXIMUM_EXTENSIONS = 3;
/** Multiplier of the timeout for unconfirmed writes per extension. */
const EXTENSION_FACTOR = 4;
/** Maximum replication lag of the successor when a handover starts. */
const HANDOVER_LAG_ENTRIES = 100;

/**
 * Creates the failure detector for the primary of a group.
 *
 * - `silent`: the primary does not respond, a majority of the other members does, and the most
 *   advanced replica receives no log entries. An advancing replica shows that only the link from
 *   this instance is broken.
 * - `unconfirmed`: the primary responds, but a write stays unconfirmed while the logs of a majority
 *   do not advance. Repeated failovers without a confirmed write extend the timeout, so that slow
 *   replication does not cause one failover after another.
 * - `absent`: a majority responds and no member is primary, for example after an instance failed
 *   between fencing and promoting.
 * - `leaving`: the primary is being taken out of service and a successor has caught up.
 * - `membersChanged`: the term is one of a former list of members; it ends so that no majority of that list
 *   can confirm anything any more.
 * - `stranded`: a member recorded a higher term in a failed failover and refuses the primary's log.
 *
 * @internal
 */
export function createPrimaryFailureDetector(options: {
  members: MemberTable;
  times: DetectionTimes;
  getOldestUnconfirmedWrite: () => PendingWrite | undefined;
}): PrimaryFailureDetector {
  const { members, times, getOldestUnconfirmedWrite } = options;
  const conditionSince = new Map<SuspicionCause, number>();
  let extensions = 0;

  /** Tracks since when the condition is met and returns whether that is at least the duration. */
  function updateCondition(
    cause: SuspicionCause,
    isMet: boolean,
    durationMilliseconds: number,
    now: number,
  ): boolean {
    if (!isMet) {
      conditionSince.delete(cause);
      return false;
    }
    const start = conditionSince.get(cause) ?? now;
    conditionSince.set(cause, start);
    return now - start >= durationMilliseconds;
  }

  function findAnswering(list: readonly Member[], now: number): Member[] {
    return list.filter((member) => hasRespondedWithin(member, times.suspicionMilliseconds, now));
  }

  function listOthers(primary: Member): Member[] {
    return members.list().filter((member) => member !== primary);
  }

  function hasMajority(list: Member[]): boolean {
    return list.length >= members.getMajority();
  }

  function isSilent(member: Member, now: number): boolean {
    if (member.consecutiveFailures < SILENT_MEMBER_FAILURES) return false;
    return now - member.silentSince >= getSilenceTimeout(member);
  }

  function getSilenceTimeout({ consecutiveUnreachable }: Member): number {
    const isDead = consecutiveUnreachable >= DEAD_MEMBER_CONNECTION_REFUSALS;
    return times.suspicionMilliseconds * (isDead ? DEAD_MEMBER_FACTOR : 1);
  }

  function hasAdvancingReplica(primary: Member, now: number): boolean {
    const furthest = listOthers(primary)
      .filter((member) => getTerm(member) === getTerm(primary))
      .sort((left, right) => comparePositions(getLogEnd(right), getLogEnd(left)))[0];
    if (!furthest || !hasRespondedWithin(furthest, times.suspicionMilliseconds, now)) return false;
    return now - furthest.logAdvancedAt < getSilenceTimeout(primary);
  }

  function isPrimarySilent(primary: Member, now: number): boolean {
    if (!isSilent(primary, now)) return false;
    if (!hasMajority(findAnswering(listOthers(primary), now))) return false;
    return !hasAdvancingReplica(primary, now);
  }

  function isIsolatedFromGroup(primary: Member, now: number): boolean {
    const write = getOldestUnconfirmedWrite();
    if (!write || write.term !== getTerm(primary)) return false;
    const timeout = times.unconfirmedMilliseconds * EXTENSION_FACTOR ** extensions;
    if (now - write.completedAt < timeout) return false;
    if (!hasRespondedWithin(primary, times.suspicionMilliseconds, now)) return false;
    const stalled = findAnswering(listOthers(primary), now).filter(
      (member) =>
        now - member.logAdvancedAt >= timeout &&
        comparePositions(getLogEnd(member), getLogEnd(primary)) < 0,
    );
    return hasMajority(stalled);
  }

  function hasSuccessor(primary: Member, now: number): boolean {
    return findAnswering(listOthers(primary), now).some(
      (member) =>
        !member.database.leaving &&
        getTerm(member) === getTerm(primary) &&
        getLogEnd(member).index + HANDOVER_LAG_ENTRIES >= getLogEnd(primary).index,
    );
  }

  function findStranded(primary: Member, now: number): Member | undefined {
    return findAnswering(listOthers(primary), now).find(
      (member) => getTerm(member) > getTerm(primary),
    );
  }

  function isOfFormerMembers(primary: Member): boolean {
    return getMemberSet(getTerm(primary)) < members.getMemberSet();
  }

  /** Without a list as new as the terms of the members, a majority of it proves nothing. */
  function findSuspicion(now: number): Suspicion | undefined {
    if (members.isOutdated()) return undefined;
    const primary = members.getPrimary();
    const isAbsent = !primary && hasMajority(findAnswering(members.list(), now));
    if (updateCondition('absent', isAbsent, times.suspicionMilliseconds, now)) {
      return { cause: 'absent', member: '' };
    }
    return primary && findFault(primary, now);
  }

  function findFault(primary: Member, now: number): Suspicion | undefined {
    const { name, database } = primary;
    const isLeaving = updateCondition(
      'leaving',
      database.leaving,
      times.handoverAnnouncementMilliseconds,
      now,
    );
    const isOfFormer = updateCondition(
      'membersChanged',
      isOfFormerMembers(primary),
      times.handoverAnnouncementMilliseconds,
      now,
    );
    const stranded = findStranded(primary, now);
    const isStranded = updateCondition('stranded', !!stranded, times.strandedMilliseconds, now);
    if (isPrimarySilent(primary, now)) return { cause: 'silent', member: name };
    if (isIsolatedFromGroup(primary, now)) return { cause: 'unconfirmed', member: name };
    if (isLeaving && hasSuccessor(primary, now)) return { cause: 'leaving', member: name };
    if (isOfFormer) return { cause: 'membersChanged', member: name };
    if (isStranded && stranded) return { cause: 'stranded', member: stranded.name };
    return undefined;
  }

  const suspicionChecks: Record<SuspicionCause, (suspicion: Suspicion, now: number) => boolean> = {
    silent: ({ member }, now) => {
      const primary = members.getPrimary();
      return !primary || (primary.name === member && isPrimarySilent(primary, now));
    },
    unconfirmed: ({ member }, now) => {
      const primary = members.getPrimary();
      return !primary || (primary.name === member && isIsolatedFromGroup(primary, now));
    },
    absent: () => !members.getPrimary(),
    leaving: ({ member }, now) => {
      const primary = members.getPrimary();
      if (!primary) return true;
      return primary.name === member && primary.database.leaving && hasSuccessor(primary, now);
    },
    membersChanged: ({ member }) => {
      const primary = members.getPrimary();
      return !primary || (primary.name === member && isOfFormerMembers(primary));
    },
    stranded: (_suspicion, now) => {
      const primary = members.getPrimary();
      return !primary || findStranded(primary, now) !== undefined;
    },
  };

  return {
    findSuspicion,
    isStillSuspected: (suspicion, now) =>
      !members.isOutdated() && suspicionChecks[suspicion.cause](suspicion, now),
    onPaused: () => conditionSince.clear(),
    onConfirmed: (waitedMilliseconds) => {
      if (waitedMilliseconds < times.unconfirmedMilliseconds) extensions = 0;
    },
    onPrimaryChanged: () => {
      if (getOldestUnconfirmedWrite()) extensions = Math.min(extensions + 1, MAXIMUM_EXTENSIONS);
    },
  };
}

const LOG_START = { term: 0, index: 0 };

function getLogEnd(member: Member) {
  return member.status?.logEnd ?? LOG_START;
}
