import type { HolderOptions } from '@wisterialift/pooling';
import type { GroupContext } from './groupContext';
import type { MemberRegistrar } from './memberRegistrar';

/** Returns what decides whether members besides the primary make a commit survive a promotion. */
export function createHolderOptions(
  { members }: GroupContext,
  { isHeldByAll, isRegistered }: Pick<MemberRegistrar, 'isHeldByAll' | 'isRegistered'>,
  primaryId: string,
): HolderOptions {
  return {
    primaryId,
    memberIds: () => [...members.keys()],
    isRegistered,
    isHeldByAll: (holderIds) => isHeldByAll([primaryId, ...holderIds]),
  };
}
