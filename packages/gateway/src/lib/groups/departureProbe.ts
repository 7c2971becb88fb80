import type { DepartedMembers, RegisteredMember } from '@wisterialift/pooling';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { toRegisteredMember } from './registeredMember';
import { sendMemberCommand } from './sendMemberCommand';

/** Queries members while it is not known that others hold what departed ones confirmed. */
export interface DepartureProbe {
  /** Queries members if that is due; to be called regularly. */
  check: () => void;
  /** Delays the next query: statements usually show within this time what it would ask. */
  postpone: () => void;
}

const INTERVAL_MILLISECONDS = 1_000;
const QUERY_TIMEOUT_MILLISECONDS = 400;

export function createDepartureProbe(
  context: GroupContext,
  {
    departures,
    listPresent,
  }: {
    departures: Pick<DepartedMembers, 'isCovered' | 'isRemovable' | 'isUncounted' | 'list'>;
    listPresent: () => Member[];
  },
): DepartureProbe {
  const { clock, primaryTracker } = context;
  let isProbing = false;
  let probedAt = -Infinity;

  function isCoverageMissing(member: RegisteredMember): boolean {
    if (departures.isUncounted(member, clock.now())) return !departures.isRemovable(member);
    return !departures.isCovered(member, listPresent().map(toRegisteredMember));
  }

  function isDue(): boolean {
    if (isProbing || clock.now() - probedAt < INTERVAL_MILLISECONDS) return false;
    if (listPresent().length < 2) return false;
    return departures.list().some(isCoverageMissing);
  }

  /** Queries the primary and then the replicas, because statements have not shown the coverage. */
  async function probe(): Promise<void> {
    const primary = primaryTracker.find();
    if (!primary || primary.avoidUntil > clock.now()) return;
    isProbing = true;
    const query = (member: Member) =>
      sendMemberCommand(context, member, { type: 'status' }, QUERY_TIMEOUT_MILLISECONDS);
    const report = await query(primary);
    if (report?.isPrimary) {
      const replicas = listPresent().filter((member) => member !== primary);
      await Promise.all(replicas.map(query));
    }
    probedAt = clock.now();
    isProbing = false;
  }

  return {
    check: () => {
      if (isDue()) void probe();
    },
    postpone: () => {
      probedAt = clock.now();
    },
  };
}
