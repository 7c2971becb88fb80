import { computeRemainingAdmissionTime } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { Member } from './member';
import type { PrimaryTracker } from './primaryTracker';

/** Limits the statements sent to leaving members. */
export interface LeavingMemberPolicy {
  /** The earlier of a deadline and the time until which a member accepts new statements. */
  limitDeadline: (member: Member, deadlineAt: number) => number;
  /** Whether a new statement can be sent to a member now. */
  canAccept: (member: Member) => boolean;
  /** Whether all members are leaving and the primary accepts no new statements. */
  isGroupClosed: () => boolean;
}

/** @param options.timeLimit - milliseconds for which a leaving member accepts new statements. */
export function createLeavingMemberPolicy(options: {
  members: ReadonlyMap<string, Member>;
  primaryTracker: PrimaryTracker;
  clock: Clock;
  timeLimit: number;
}): LeavingMemberPolicy {
  const { members, primaryTracker, clock, timeLimit } = options;

  // Called for every statement, so the clocks are read only for leaving members.
  const getRemainingTime = ({ entry: { leavingSince } }: Member) =>
    leavingSince
      ? computeRemainingAdmissionTime({
          leavingSince,
          admissionPeriod: timeLimit,
          now: clock.readClocks(),
        })
      : Infinity;

  const canAccept = (member: Member) => getRemainingTime(member) > 0;

  return {
    limitDeadline: (member, deadlineAt) =>
      Math.min(deadlineAt, clock.now() + getRemainingTime(member)),
    canAccept,
    isGroupClosed: () => {
      const primary = primaryTracker.find();
      if (members.size === 0 || (primary && canAccept(primary))) return false;
      return [...members.values()].every(({ entry }) => entry.isLeaving);
    },
  };
}
