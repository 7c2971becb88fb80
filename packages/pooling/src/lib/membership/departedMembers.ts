import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { MemberObservation } from '../replication/replicationTracker';
import { isSameLife } from './memberRegister';
import type { RegisteredMember } from './memberRegister';

/** Tracks whether others hold what members confirmed that the directory no longer lists. @public */
export interface DepartedMembers {
  /** Records that a member is not listed, unless that is known already. */
  recordDeparture: (member: RegisteredMember, now: number) => void;
  /** Records that a departed member's process has ended, so that it confirms nothing more. */
  recordEnd: (member: RegisteredMember) => void;
  /** Forgets members that are listed again or no longer registered. */
  retain: (members: readonly RegisteredMember[]) => void;
  /**
   * Takes an answer of a registered and listed member into account.
   *
   * @param options.takeNextSequenceNumber - see `ReplicationTracker`.
   */
  observe: (
    observation: MemberObservation,
    options: { takeNextSequenceNumber: () => number },
  ) => void;
  /**
   * Whether other members hold every commit that the member can have confirmed by its departure. More
   * may have been confirmed if it still runs, for an instance that does not know of the departure.
   */
  isCovered: (member: RegisteredMember) => boolean;
  /** Whether other members hold everything that it confirmed, and no instance counts its word. */
  isSettled: (member: RegisteredMember) => boolean;
  /** Whether the member departed so long ago that no instance counts its word any more. */
  isForgotten: (member: RegisteredMember, now: number) => boolean;
  list: () => RegisteredMember[];
}

/** Waits for a replica to hold the log end of the primary that was requested after `validFrom`. */
interface CoverageCheck {
  validFrom: number;
  target?: { position: Position; sequence: number };
  isCovered: boolean;
}

interface Departure {
  member: RegisteredMember;
  hasEnded: boolean;
  /** Counted from the departure. */
  atDeparture: CoverageCheck;
  /** Counted from the time at which no instance counts the member's word any more. */
  afterSettling: CoverageCheck;
}

/**
 * @param options.settlingTime - milliseconds after which no instance counts the word of a member that
 *   the directory does not list.
 * @public
 */
export function createDepartedMembers({ settlingTime }: { settlingTime: number }): DepartedMembers {
  let departures: Departure[] = [];

  const find = (member: RegisteredMember) =>
    departures.find((departure) => isSameLife(departure.member, member));

  return {
    recordDeparture: (member, now) => {
      if (find(member)) return;
      departures.push({
        member,
        hasEnded: false,
        atDeparture: { validFrom: now, isCovered: false },
        afterSettling: { validFrom: now + settlingTime, isCovered: false },
      });
    },
    recordEnd: (member) => {
      const departure = find(member);
      if (departure) departure.hasEnded = true;
    },
    retain: (members) => {
      departures = departures.filter(({ member }) =>
        members.some((retained) => isSameLife(retained, member)),
      );
    },
    observe: (observation, { takeNextSequenceNumber }) => {
      for (const { atDeparture, afterSettling } of departures) {
        updateCheck(atDeparture, observation, takeNextSequenceNumber);
        updateCheck(afterSettling, observation, takeNextSequenceNumber);
      }
    },
    isCovered: (member) => find(member)?.atDeparture.isCovered ?? false,
    isSettled: (member) => {
      const departure = find(member);
      if (!departure) return false;
      const { hasEnded, atDeparture, afterSettling } = departure;
      return afterSettling.isCovered || (hasEnded && atDeparture.isCovered);
    },
    isForgotten: (member, now) => now >= (find(member)?.afterSettling.validFrom ?? Infinity),
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
  takeNextSequenceNumber: () => number,
): void {
  const { isPrimary, position, requestedAt, requestSequenceNumber, term } = observation;
  if (check.isCovered || requestedAt.monotonic < check.validFrom) return;
  const { target } = check;
  if (isPrimary) {
    if (target && target.position.term >= term) return;
    Object.assign(check, { target: { position, sequence: takeNextSequenceNumber() } });
    return;
  }
  if (!target || requestSequenceNumber <= target.sequence) return;
  const isInTerm = term === target.position.term;
  const isCovered = isInTerm && comparePositions(position, target.position) >= 0;
  Object.assign(check, { isCovered });
}
