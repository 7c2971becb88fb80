/** @public */
export interface ConnectionShareOptions {
  /** Connections that the database accepts from all instances together. */
  connectionLimit: number;
  /** Connections left unused by the shares; newcomers and operators live on them. */
  reserved: number;
  /** How long an instance that left the list still counts. At least the greatest lag of the list. */
  holdDownMilliseconds?: number;
  /** How long a newcomer keeps to one connection. At least the greatest lag of the list. */
  warmUpMilliseconds?: number;
}

/** @public */
export interface ConnectionShare {
  /** @param liveInstances - names on the lagging list as this instance sees it. */
  update: (liveInstances: string[], self: string, now: number) => void;
  /** Connections that this instance may hold to the database at this time; at least 1. */
  share: (now: number) => number;
  /** The database refused a connection because of its limit. */
  recordRefusal: (now: number) => void;
}

/** @public */
export const DEFAULT_CONNECTION_SHARE_TIMES = {
  holdDownMilliseconds: 15_000,
  warmUpMilliseconds: 3_000,
};

const SHRINK_FACTOR = 0.75;
/** Refusals of one burst shrink the share once. */
const SHRINK_PAUSE_MILLISECONDS = 1_000;
/** Pause before a shrunken share tries one more connection. */
const PROBE_MILLISECONDS = 5_000;

/**
 * Works out this instance's share of a database's connections from its lagging list of instances.
 *
 * No instance knows what the others see, so the sum of the shares is kept within the limit by three
 * rules. An instance that appears counts at once; one that vanished counts on for the hold-down, in
 * which it may still hold connections or be seen by others. A newcomer, which others may not see
 * yet, keeps to one connection out of the reserve until its own warm-up is over. With lists that lag
 * by no more than these times, every warm instance divides by at least the number of warm instances.
 * Beyond that a refused connection shrinks the share, and it grows back one connection at a time.
 *
 * @public
 */
export function createConnectionShare(options: ConnectionShareOptions): ConnectionShare {
  const { connectionLimit, reserved, holdDownMilliseconds, warmUpMilliseconds } = {
    ...DEFAULT_CONNECTION_SHARE_TIMES,
    ...options,
  };
  const lastSeenAt = new Map<string, number>();
  const usable = Math.max(1, connectionLimit - reserved);
  let listed = new Set<string>();
  let firstUpdateAt: number | undefined;
  let refusalCap: number | undefined;
  let cappedAt = 0;

  const countInstances = (now: number): number => {
    let count = 0;
    lastSeenAt.forEach((seenAt, name) => {
      if (listed.has(name) || now - seenAt < holdDownMilliseconds) {
        count += 1;
      } else {
        lastSeenAt.delete(name);
      }
    });
    return Math.max(1, count);
  };

  const shareOfList = (now: number): number => {
    if (firstUpdateAt === undefined || now - firstUpdateAt < warmUpMilliseconds) return 1;
    return Math.max(1, Math.floor(usable / countInstances(now)));
  };

  const share = (now: number): number => {
    const allowed = shareOfList(now);
    if (refusalCap === undefined) return allowed;
    const probed = refusalCap + Math.floor((now - cappedAt) / PROBE_MILLISECONDS);
    if (probed < allowed) return probed;
    refusalCap = undefined;
    return allowed;
  };

  const update = (liveInstances: string[], self: string, now: number) => {
    firstUpdateAt ??= now;
    // The time of the last sight is that of the list before this one: it held until now.
    listed.forEach((name) => lastSeenAt.set(name, now));
    listed = new Set([...liveInstances, self]);
    listed.forEach((name) => lastSeenAt.set(name, now));
  };

  const recordRefusal = (now: number) => {
    if (refusalCap !== undefined && now - cappedAt < SHRINK_PAUSE_MILLISECONDS) return;
    refusalCap = Math.max(1, Math.floor(share(now) * SHRINK_FACTOR));
    cappedAt = now;
  };

  return { update, share, recordRefusal };
}
