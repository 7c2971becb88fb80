import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { MemberObservation } from '../replication/replicationTracker';
import { isListedNoLater, isSameLife, isSameListing } from './memberRegister';
import type { RegisteredMember } from './memberRegister';

/** Tracks whether others hold what members confirmed that the directory no longer lists. @public */
export interface DepartedMembers {
  /** Records that a member is not listed, unless that is known already. */
  recordDeparture: (member: RegisteredMember, now: number) => void;
  /** Records that a departed member's process has ended, so that it confirms nothing more. */
  recordEnd: (member: RegisteredMember, now: number) => void;
  /** Forgets members that are listed again or no longer registered. */
  retain: (members: readonly RegisteredMember[]) => void;
  /** Takes an answer of a listed member into account. */
  observe: (observation: MemberObservation, options: ObservationOptions) => void;
  /**
   * Whether registered members, or one of `present`, hold every commit that the member can have
   * confirmed by its departure. Others may depart and be missed by nobody. A member that still runs may
   * confirm more, for instances that have not learned of the departure.
   */
  isCovered: (member: RegisteredMember, present: readonly RegisteredMember[]) => boolean;
  /**
   * Whether they hold every commit that the member can ever confirm: its process has ended, or no
   * instance counts its word any more.
   */
  isCoveredForGood: (member: RegisteredMember, present: readonly RegisteredMember[]) => boolean;
  /** Whether listed members hold everything that it confirmed, and no instance counts its word. */
  isSettled: (member: RegisteredMember) => boolean;
  /** Whether registered members do, so that it can be taken off the register. */
  isRemovable: (member: RegisteredMember) => boolean;
  /** Whether no instance counts what the member may still confirm. */
  isUncounted: (member: RegisteredMember, now: number) => boolean;
  /** Whether the member departed so long ago that it is awaited no longer. */
  isTimedOut: (member: RegisteredMember, now: number) => boolean;
  list: () => RegisteredMember[];
}

/** How an answer is taken into account. @public */
export interface ObservationOptions {
  /** The member that answered. */
  observed: RegisteredMember;
  isRegistered: boolean;
  /** See `ReplicationTracker`. */
  takeNextSequenceNumber: () => number;
}

/** Waits for a replica to hold the log end of the primary that was requested after `validFrom`. */
interface CoverageCheck {
  validFrom: number;
  /** Whether only the answers of registered members count. */
  needsRegistered: boolean;
  target?: { position: Position; sequence: number };
  /** Members that were seen to hold it. */
  holders: RegisteredMember[];
}

type CoverageChecks = Record<'byListed' | 'byRegistered', CoverageCheck>;

interface Departure {
  member: RegisteredMember;
  departedAt: number;
  /** Counted from the time at which its process was known to have ended. */
  afterEnd?: CoverageChecks;
  /** Counted from the departure. */
  atDeparture: CoverageChecks;
  /** Counted from the time at which no instance counts the member's word any more. */
  afterSettling: CoverageChecks;
}

const hasHolder = ({ holders }: CoverageCheck) => holders.length > 0;

const createChecks = (validFrom: number): CoverageChecks => ({
  byListed: { validFrom, needsRegistered: false, holders: [] },
  byRegistered: { validFrom, needsRegistered: true, holders: [] },
});

/**
 * @param options.settlingTime - milliseconds after which no instance counts the word of a member that
 *   the directory does not list.
 * @param options.timeout - milliseconds after which a member is awaited no longer.
 * @public
 */
export function createDepartedMembers({
  settlingTime,
  timeout,
}: {
  settlingTime: number;
  timeout: number;
}): DepartedMembers {
  let departures: Departure[] = [];

  const find = (member: RegisteredMember) =>
    departures.find((departure) => isListedNoLater(member, departure.member));

  const isHeldBy = (
    { byListed, byRegistered }: CoverageChecks,
    present: readonly RegisteredMember[],
  ): boolean => {
    const isPresent = (holder: RegisteredMember) =>
      present.some((other) => isSameLife(holder, other));
    return hasHolder(byRegistered) || byListed.holders.some(isPresent);
  };

  const hasSettled = (departure: Departure | undefined, holders: keyof CoverageChecks) => {
    if (!departure) return false;
    const { afterEnd, afterSettling } = departure;
    return hasHolder(afterSettling[holders]) || (afterEnd ? hasHolder(afterEnd[holders]) : false);
  };

  return {
    recordDeparture: (member, now) => {
      if (find(member)) return;
      departures.push({
        member,
        departedAt: now,
        atDeparture: createChecks(now),
        afterSettling: createChecks(now + settlingTime),
      });
    },
    recordEnd: (member, now) => {
      const departure = find(member);
      if (departure) departure.afterEnd ??= createChecks(now);
    },
    retain: (members) => {
      departures = departures.filter(({ member }) =>
        members.some((retained) => isSameListing(retained, member)),
      );
    },
    observe: (observation, options) => {
      for (const { atDeparture, afterSettling, afterEnd = {} } of departures) {
        const checks = [atDeparture, afterSettling, afterEnd].flatMap(Object.values);
        for (const check of checks) updateCheck(check, observation, options);
      }
    },
    isCovered: (member, present) => {
      const departure = find(member);
      return departure !== undefined && isHeldBy(departure.atDeparture, present);
    },
    isCoveredForGood: (member, present) => {
      const departure = find(member);
      if (!departure) return false;
      const { afterEnd, afterSettling } = departure;
      return [afterEnd, afterSettling].some((checks) => checks && isHeldBy(checks, present));
    },
    isSettled: (member) => hasSettled(find(member), 'byListed'),
    isRemovable: (member) => hasSettled(find(member), 'byRegistered'),
    isUncounted: (member, now) => {
      const departure = find(member);
      if (!departure) return false;
      return departure.afterEnd !== undefined || now >= departure.departedAt + settlingTime;
    },
    isTimedOut: (member, now) => {
      const departure = find(member);
      return departure !== undefined && now >= departure.departedAt + timeout;
    },
    list: () => departures.map(({ member }) => member),
  };
}

/**
 * The replica must answer in the primary's term to a request sent after the primary's answer, which
 * shows that the primary had not been replaced; a later primary's log may end elsewhere.
 */
function updateCheck(
  check: CoverageCheck,
  observation: MemberObservation,
  { observed, isRegistered, takeNextSequenceNumber }: ObservationOptions,
): void {
  if (check.needsRegistered && !isRegistered) return;
  const { isPrimary, position, requestedAt, requestSequenceNumber, term } = observation;
  const { holders, target, validFrom } = check;
  if (requestedAt.monotonic < validFrom) return;
  if (isPrimary) {
    if (target && target.position.term >= term) return;
    Object.assign(check, { target: { position, sequence: takeNextSequenceNumber() } });
    return;
  }
  if (!target || requestSequenceNumber <= target.sequence) return;
  const isInTerm = term === target.position.term;
  const isHolder = isInTerm && comparePositions(position, target.position) >= 0;
  if (isHolder && !holders.some((holder) => isSameLife(holder, observed))) holders.push(observed);
}
