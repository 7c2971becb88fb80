import { DEPARTURE_TIMEOUT_MILLISECONDS } from '@wisterialift/pooling';
import type { MemberReport, UpstreamCommand } from '@wisterialift/pooling';
import type { CachedDirectoryEntry } from '../directory/directoryCache';
import type { GroupContext } from '../groups/groupContext';

/** Status of a member that was dropped because the directory no longer lists it. */
export interface FormerMemberReport {
  entry: CachedDirectoryEntry;
  report: MemberReport;
}

/**
 * Reaches members after they were dropped. One whose entry lapsed may still run and confirm commits for
 * instances that list it.
 */
export interface FormerMembers {
  /** Keeps the member for `DEPARTURE_TIMEOUT_MILLISECONDS`. */
  add: (entry: CachedDirectoryEntry) => void;
  /** Forgets a member that is listed again or whose successor is. */
  remove: (entry: Pick<CachedDirectoryEntry, 'memberId' | 'address'>) => void;
  /**
   * Sends a command to each member for which `isWanted` is true.
   *
   * @returns the reports of those that answer in time. They are no evidence for statements: an instance
   *   that does not list a member does not ask for its term either.
   */
  request: (
    command: Extract<UpstreamCommand, { type: 'status' | 'pause' | 'resume' }>,
    options: FormerMemberRequestOptions,
  ) => Promise<FormerMemberReport[]>;
}

export interface FormerMemberRequestOptions {
  isWanted: (entry: CachedDirectoryEntry) => boolean;
  timeoutMilliseconds: number;
}

export function createFormerMembers({
  clock,
  driver,
  group,
  logger,
}: Pick<GroupContext, 'clock' | 'driver' | 'group' | 'logger'>): FormerMembers {
  const entries = new Map<string, CachedDirectoryEntry>();

  async function requestReport(
    { memberId, address }: CachedDirectoryEntry,
    command: UpstreamCommand,
    timeoutMilliseconds: number,
  ): Promise<MemberReport | undefined> {
    const startedAt = clock.now();
    const target = { group, memberId, address, timeoutMilliseconds, team: undefined };
    const connection = await driver.connect(target);
    const remaining = timeoutMilliseconds - (clock.now() - startedAt);
    const cancelTimeout = clock.runAfter(remaining, connection.close);
    try {
      return driver.readReport(await connection.run(command));
    } finally {
      cancelTimeout();
      connection.close();
    }
  }

  async function tryRequest(
    entry: CachedDirectoryEntry,
    command: UpstreamCommand,
    timeoutMilliseconds: number,
  ): Promise<FormerMemberReport[]> {
    const { memberId } = entry;
    const line = { group, memberId, command: command.type };
    try {
      const report = await requestReport(entry, command, timeoutMilliseconds);
      logger.info('formerMemberAsked', { ...line, report });
      return report ? [{ entry, report }] : [];
    } catch (error) {
      logger.warn('formerMemberSilent', { ...line, error: error as Error });
      return [];
    }
  }

  return {
    add: (entry) => {
      const { memberId } = entry;
      entries.set(memberId, entry);
      clock.runAfter(DEPARTURE_TIMEOUT_MILLISECONDS, () => {
        if (entries.get(memberId) === entry) entries.delete(memberId);
      });
    },
    remove: ({ memberId, address }) => {
      for (const [formerId, former] of entries) {
        if (formerId === memberId || former.address === address) entries.delete(formerId);
      }
    },
    request: async (command, { isWanted, timeoutMilliseconds }) => {
      const asked = [...entries.values()].filter(isWanted);
      const reports = await Promise.all(
        asked.map((entry) => tryRequest(entry, command, timeoutMilliseconds)),
      );
      return reports.flat();
    },
  };
}
