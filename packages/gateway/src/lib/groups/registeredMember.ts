import type { ListedMember, RegisteredMember } from '@wisterialift/pooling';
import type { Member } from './member';

/** Leaves out what only this instance needs to know of a member. */
export function toStoredMember({
  memberId,
  startedAt,
  createdRevision,
}: RegisteredMember): RegisteredMember {
  return {
    memberId,
    ...(startedAt !== undefined && { startedAt }),
    ...(createdRevision !== undefined && { createdRevision }),
  };
}

/** Returns the life of a member's process that the directory lists. */
export function toRegisteredMember({ entry }: Member): RegisteredMember {
  return toStoredMember(entry);
}

export function toListedMember(member: Member): ListedMember {
  return { ...toRegisteredMember(member), address: member.entry.address };
}
