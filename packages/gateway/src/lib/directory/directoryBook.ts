import { LONG_AGO } from '@wisterialift/pooling';
import type { ClockReadings } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { DirectoryAge, DirectoryEntry } from '../ports/platformPort';

/** An entry of the directory and how long it may have been so. */
export interface KnownEntry extends DirectoryEntry {
  /** The member has been leaving since this time or later; undefined where it stays. */
  leavingSince: ClockReadings | undefined;
}

/** What the instance knows of the directory. */
export interface DirectoryBook {
  adopt: (entries: readonly DirectoryEntry[], age: DirectoryAge) => void;
  entriesOf: (group: string) => KnownEntry[];
  /** Whether the directory was read at all. */
  isKnown: () => boolean;
  /** Whether the last look told all that was accepted before it. */
  isFresh: () => boolean;
}

/** Time for which a member that left is remembered, in case its entry comes back. */
const MEMORY_MILLISECONDS = 600_000;

export function createDirectoryBook(clock: Clock): DirectoryBook {
  const known = new Map<string, { entry: KnownEntry; listedAt: number }>();
  let listed: KnownEntry[] = [];
  let isKnown = false;
  let isFresh = false;

  function learn(entry: DirectoryEntry, newSince: ClockReadings | undefined): KnownEntry {
    const { memberId } = entry;
    const learnt = { ...entry, leavingSince: leavingSince(entry, newSince) };
    known.set(memberId, { entry: learnt, listedAt: clock.now() });
    return learnt;
  }

  /** Since when a member leaves; one that was never seen staying may have left at any time before. */
  function leavingSince(
    entry: DirectoryEntry,
    newSince: ClockReadings | undefined,
  ): ClockReadings | undefined {
    if (!entry.isLeaving) return undefined;
    const former = known.get(entry.memberId)?.entry;
    const hadLeft = former && isSameLife(former, entry) ? former.leavingSince : undefined;
    return hadLeft ?? newSince ?? LONG_AGO;
  }

  function forgetLongGone(): void {
    for (const [memberId, { listedAt }] of known) {
      if (clock.now() - listedAt > MEMORY_MILLISECONDS) known.delete(memberId);
    }
  }

  return {
    adopt: (entries, age) => {
      listed = entries.map((entry) => learn(entry, age.newSince));
      forgetLongGone();
      isKnown = true;
      isFresh = age.isFresh;
    },
    entriesOf: (group) => listed.filter((entry) => entry.group === group),
    isKnown: () => isKnown,
    isFresh: () => isFresh,
  };
}

/** An entry without a time of start is of the life that is known. */
export function isSameLife(known: DirectoryEntry, entry: DirectoryEntry): boolean {
  const isUntold = known.startedAt === undefined || entry.startedAt === undefined;
  const isSameStart = isUntold || known.startedAt === entry.startedAt;
  return isSameStart && known.address === entry.address;
}
