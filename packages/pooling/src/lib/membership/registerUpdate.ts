import { isSameListing, subtractMembers } from './memberRegister';
import type { MemberRegister, RegisteredMember } from './memberRegister';

/** What a replacement of the register changes. @public */
export interface RegisterUpdate {
  added: RegisteredMember[];
  removed: RegisteredMember[];
  next: MemberRegister;
}

/**
 * Plans a replacement of the register.
 *
 * @param options.addable - members to be registered with their present entries.
 * @returns undefined if the register is up to date.
 * @public
 */
export function planRegisterUpdate({
  registered,
  addable,
  isRemovable,
}: {
  registered: readonly RegisteredMember[];
  addable: readonly RegisteredMember[];
  isRemovable: (member: RegisteredMember) => boolean;
}): RegisterUpdate | undefined {
  const added = subtractMembers(addable, registered, isSameListing);
  const removed = registered.filter(isRemovable);
  if (added.length + removed.length === 0) return undefined;
  const kept = subtractMembers(registered, [...removed, ...added]);
  return { added, removed, next: { members: [...kept, ...added] } };
}
