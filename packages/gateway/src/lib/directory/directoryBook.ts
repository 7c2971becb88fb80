import { LONG_AGO } from '@wisterialift/pooling';
import type { ClockReadings } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { DirectoryAge, DirectoryEntry } from '../ports/platformPort';

/** A directory entry and the time since which the member may have been leaving. */
export interface KnownEntry extends DirectoryEntry {
  /** Earliest time at which the member may have begun to leave; undefined if it is not leaving. */
  leavingSince: ClockReadings | undefined;
}

/** Caches the entries last read from the directory. */
export interface DirectoryCache {
  update: (entries: readonly DirectoryEntry[], age: DirectoryAge) => void;
  getEntries: (group: string) => KnownEntry[];
  /** Whether the directory has been read at least once. */
  isLoaded: () => boolean;
  /** Whether the last read included every change accepted before it. */
  isFresh: () => boolean;
}

/** Retention of entries no longer listed, so that `leavingSince` survives a lapsed entry. */
const ENTRY_RETENTION_MILLISECONDS = 600_000;

export function createDirectoryCache(clock: Clock): DirectoryCache {
  const lastEntries = new Map<string, { entry: KnownEntry; listedAt: number }>();
  let listedEntries: KnownEntry[] = [];
  let isLoaded = false;
  let isFresh = false;

  function recordEntry(entry: DirectoryEntry, newSince: ClockReadings | undefined): KnownEntry {
    const { memberId } = entry;
    const recordedEntry = { ...entry, leavingSince: getLeavingSince(entry, newSince) };
    lastEntries.set(memberId, { entry: recordedEntry, listedAt: clock.now() });
    return recordedEntry;
  }

  /** Falls back to `LONG_AGO`: a member first seen leaving may have begun at any earlier time. */
  function getLeavingSince(
    entry: DirectoryEntry,
    newSince: ClockReadings | undefined,
  ): ClockReadings | undefined {
    if (!entry.isLeaving) return undefined;
    const previousEntry = lastEntries.get(entry.memberId)?.entry;
    const previousLeavingSince =
      previousEntry && isSameLife(previousEntry, entry) ? previousEntry.leavingSince : undefined;
    return previousLeavingSince ?? newSince ?? LONG_AGO;
  }

  function evictExpiredEntries(): void {
    for (const [memberId, { listedAt }] of lastEntries) {
      if (clock.now() - listedAt > ENTRY_RETENTION_MILLISECONDS) lastEntries.delete(memberId);
    }
  }

  return {
    update: (entries, age) => {
      listedEntries = entries.map((entry) => recordEntry(entry, age.newSince));
      evictExpiredEntries();
      isLoaded = true;
      isFresh = age.isFresh;
    },
    getEntries: (group) => listedEntries.filter((entry) => entry.group === group),
    isLoaded: () => isLoaded,
    isFresh: () => isFresh,
  };
}

/** Whether both entries describe the same process; an unknown start time matches any. */
export function isSameLife(known: DirectoryEntry, entry: DirectoryEntry): boolean {
  const isStartUnknown = known.startedAt === undefined || entry.startedAt === undefined;
  const isSameStart = isStartUnknown || known.startedAt === entry.startedAt;
  return isSameStart && known.address === entry.address;
}
