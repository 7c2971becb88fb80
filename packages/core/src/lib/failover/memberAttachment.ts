import { getTerm } from '../engine/memberTable';
import type { Member, MemberTable } from '../engine/memberTable';
import type { FailoverCommand } from './failoverCommand';

/** Makes members follow the current primary. @internal */
export interface MemberAttachment {
  /** Sends the follow commands that are due; does nothing while no primary is known. */
  attach: (now: number) => void;
}

/**
 * Attaches members that do not follow the current primary.
 *
 * A follow command also makes a former primary record the current term, so that it refuses writes
 * and discards diverged entries. Every instance sends it, at random intervals; it is idempotent.
 *
 * @internal
 */
export function createMemberAttachment(options: {
  members: MemberTable;
  sendCommand: (command: FailoverCommand, now: number) => number;
  /** Mean interval between two commands to the same member. */
  followMilliseconds: number;
  random: () => number;
}): MemberAttachment {
  const { members, sendCommand, followMilliseconds, random } = options;

  function attachTo(primary: Member, member: Member, now: number): void {
    const nextFollowAt = now + followMilliseconds * (0.5 + random());
    Object.assign(member, { nextFollowAt });
    const follow = { type: 'follow', term: getTerm(primary), primary: primary.name } as const;
    sendCommand({ ...follow, member: member.name }, now);
  }

  function attach(now: number): void {
    const primary = members.getPrimary();
    if (!primary) return;
    members
      .list()
      .filter((member) => member !== primary && now >= member.nextFollowAt)
      .filter((member) => isFollowNeeded(member, primary))
      .forEach((member) => attachTo(primary, member, now));
  }

  return { attach };
}

function isFollowNeeded(member: Member, primary: Member): boolean {
  if (!member.status) return false;
  const term = getTerm(primary);
  if (member.status.currentTerm < term) return true;
  return member.status.currentTerm === term && member.status.following !== primary.name;
}
