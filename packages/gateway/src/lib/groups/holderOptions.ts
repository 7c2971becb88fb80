import type { HolderOptions } from '@wisterialift/pooling';
import type { GroupContext } from './groupContext';
import type { MemberRegistrar } from './memberRegistrar';

/** What the register tells of members that hold a commit. */
export type HolderRegistrar = Pick<
  MemberRegistrar,
  'isHeldByAll' | 'isRegistered' | 'listRecentlyDepartedIds'
>;

/** Returns what decides whether members besides the primary make a commit survive a promotion. */
export function createHolderOptions(
  { members }: GroupContext,
  { isHeldByAll, isRegistered, listRecentlyDepartedIds }: HolderRegistrar,
  primaryId: string,
): HolderOptions {
  return {
    primaryId,
    memberIds: () => [...members.keys()],
    departedIds: listRecentlyDepartedIds,
    isRegistered,
    isHeldByAll: (holderIds) => isHeldByAll([primaryId, ...holderIds]),
  };
}
