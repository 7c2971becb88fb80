import { termOf } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';
import type { ControlOrder } from './controlOrder';

/** Tells members whom to follow. @internal */
export interface MemberAttachment {
  /** Gives the orders that are due; does nothing while no primary is known. */
  attach: (now: number) => void;
}

/**
 * Creates the attachment of members that were away, deposed or never attached.
 *
 * An old primary that comes back after a freeze still believes in its term; the order to follow
 * records the present term there, after which it refuses writes and drops what the group lacks. Each
 * instance gives the order, spread at random, since nobody is set aside for it; it is idempotent.
 *
 * @internal
 */
export function createMemberAttachment(options: {
  members: MemberTable;
  order: (order: ControlOrder, now: number) => number;
  /** Pause between two orders to the same member, in milliseconds. */
  followMilliseconds: number;
  random: () => number;
}): MemberAttachment {
  const { members, order, followMilliseconds, random } = options;

  function attachTo(primary: Member, member: Member, now: number): void {
    const nextFollowAt = now + followMilliseconds * (0.5 + random());
    Object.assign(member, { nextFollowAt });
    const follow = { type: 'follow', term: termOf(primary), primary: primary.name } as const;
    order({ ...follow, member: member.name }, now);
  }

  function attach(now: number): void {
    const primary = members.primary();
    if (!primary) return;
    members
      .list()
      .filter((member) => member !== primary && now >= member.nextFollowAt)
      .filter((member) => needsToFollow(member, primary))
      .forEach((member) => attachTo(primary, member, now));
  }

  return { attach };
}

function needsToFollow(member: Member, primary: Member): boolean {
  if (!member.status) return false;
  const term = termOf(primary);
  if (member.status.currentTerm < term) return true;
  return member.status.currentTerm === term && member.status.following !== primary.name;
}
