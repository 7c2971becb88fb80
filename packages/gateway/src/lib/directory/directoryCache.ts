import { computeAgeUpperBound, DISTANT_PAST_READINGS } from '@wisterialift/pooling';
import type { ClockReadings } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { DirectoryFreshness, DirectoryEntry } from '../ports/platformPort';

/** A directory entry and the time since which the member may have been leaving. */
export interface CachedDirectoryEntry extends DirectoryEntry {
  /** Earliest time at which the member may have begun to leave; undefined if it is not leaving. */
  leavingSince: ClockReadings | undefined;
}

/** Caches the entries last read from the directory. */
export interface DirectoryCache {
  update: (entries: readonly DirectoryEntry[], freshness: DirectoryFreshness) => void;
  /** Records that the entries include every change accepted before `completeAt`. */
  confirm: (completeAt: ClockReadings) => void;
  /** Records that the directory could not be read. */
  recordLoss: () => void;
  getEntries: (group: string) => CachedDirectoryEntry[];
  /** Whether the directory has been read at least once. */
  isLoaded: () => boolean;
  /** Whether the last read included every change accepted before it. */
  isFresh: () => boolean;
  /** Every change accepted before this time is included; undefined if that is not known. */
  getCompleteAt: () => ClockReadings | undefined;
  /**
   * When the directory could be read again after the last outage in which entries of running members
   * may have lapsed; `-Infinity` if there was none.
   */
  getOutageEnd: () => number;
}

/** Retention of entries no longer listed, so that `leavingSince` survives a lapsed entry. */
const ENTRY_RETENTION_MILLISECONDS = 600_000;

/** Entries of running members lapse only in longer outages. */
const MAXIMUM_GAP_MILLISECONDS = 3_500;

export function createDirectoryCache(clock: Clock): DirectoryCache {
  const lastEntries = new Map<string, { entry: CachedDirectoryEntry; listedAt: number }>();
  let listedEntries: CachedDirectoryEntry[] = [];
  let isLoaded = false;
  let isFresh = false;
  let completeAt: ClockReadings | undefined;
  let isLost = false;
  let outageEndedAt = -Infinity;

  function confirm(next: ClockReadings): void {
    const gap = completeAt ? computeAgeUpperBound(completeAt, next) : Infinity;
    if (isLost && gap > MAXIMUM_GAP_MILLISECONDS) outageEndedAt = clock.now();
    completeAt = next;
    isLost = false;
  }

  function recordEntry(
    entry: DirectoryEntry,
    changedAfter: ClockReadings | undefined,
  ): CachedDirectoryEntry {
    const { memberId } = entry;
    const recordedEntry = { ...entry, leavingSince: getLeavingSince(entry, changedAfter) };
    lastEntries.set(memberId, { entry: recordedEntry, listedAt: clock.now() });
    return recordedEntry;
  }

  /** `DISTANT_PAST_READINGS` if unknown: a member first seen leaving may have begun at any time. */
  function getLeavingSince(
    entry: DirectoryEntry,
    changedAfter: ClockReadings | undefined,
  ): ClockReadings | undefined {
    if (!entry.isLeaving) return undefined;
    const previousEntry = lastEntries.get(entry.memberId)?.entry;
    const previousLeavingSince =
      previousEntry && isSameProcess(previousEntry, entry) ? previousEntry.leavingSince : undefined;
    return previousLeavingSince ?? changedAfter ?? DISTANT_PAST_READINGS;
  }

  function evictExpiredEntries(): void {
    for (const [memberId, { listedAt }] of lastEntries) {
      if (clock.now() - listedAt > ENTRY_RETENTION_MILLISECONDS) lastEntries.delete(memberId);
    }
  }

  return {
    update: (entries, freshness) => {
      listedEntries = entries.map((entry) => recordEntry(entry, freshness.changedAfter));
      evictExpiredEntries();
      isLoaded = true;
      isFresh = freshness.isFresh;
      if (freshness.completeAt) confirm(freshness.completeAt);
    },
    confirm,
    recordLoss: () => {
      isLost = true;
    },
    getEntries: (group) => listedEntries.filter((entry) => entry.group === group),
    isLoaded: () => isLoaded,
    isFresh: () => isFresh,
    getCompleteAt: () => completeAt,
    getOutageEnd: () => outageEndedAt,
  };
}

/** Whether both entries describe the same process; an unknown start time matches any. */
export function isSameProcess(known: DirectoryEntry, entry: DirectoryEntry): boolean {
  const isStartUnknown = known.startedAt === undefined || entry.startedAt === undefined;
  const isSameStart = isStartUnknown || known.startedAt === entry.startedAt;
  return isSameStart && known.address === entry.address;
}
