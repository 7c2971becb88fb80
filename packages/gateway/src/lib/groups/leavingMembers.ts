import { remainingUse } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { Member } from './member';
import type { PrimaryBelief } from './primaryBelief';

/** Limits what is sent to members that leave. */
export interface LeavingMembers {
  /** The latest time, up to a deadline, at which a new statement may be sent to a member. */
  sendBy: (member: Member, deadlineAt: number) => number;
  /** Whether a new statement may be sent to a member now. */
  mayTake: (member: Member) => boolean;
  /** Whether the group takes nothing until another member comes: none stays that could lead it. */
  isGroupClosed: () => boolean;
}

/** @param options.bound - milliseconds for which a member that leaves may be sent new statements. */
export function createLeavingMembers(options: {
  members: ReadonlyMap<string, Member>;
  belief: PrimaryBelief;
  clock: Clock;
  bound: number;
}): LeavingMembers {
  const { members, belief, clock, bound } = options;

  // Every statement asks this of members that stay, so the clocks are read only for the others.
  const remaining = ({ entry: { leavingSince } }: Member) =>
    leavingSince ? remainingUse({ leavingSince, bound, present: clock.readings() }) : Infinity;

  const mayTake = (member: Member) => remaining(member) > 0;

  return {
    sendBy: (member, deadlineAt) => Math.min(deadlineAt, clock.now() + remaining(member)),
    mayTake,
    isGroupClosed: () => {
      const primary = belief.find();
      if (members.size === 0 || (primary && mayTake(primary))) return false;
      return [...members.values()].every(({ entry }) => entry.isLeaving);
    },
  };
}
