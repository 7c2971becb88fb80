/** Times in milliseconds. @public */
export interface ConnectionShareOptions {
  /** Maximum number of connections that the database accepts from all instances together. */
  connectionLimit: number;
  /** Connections excluded from the shares, for new instances and operators. */
  reservedConnections: number;
  /** How long an unlisted instance still counts; at least the maximum lag of the list. */
  holdDownMilliseconds?: number;
  /** How long a new instance is limited to one connection; at least the maximum lag of the list. */
  warmUpMilliseconds?: number;
}

/** @public */
export interface ConnectionShare {
  /** @param liveInstances - names on the latest list of instances, which may be outdated. */
  update: (liveInstances: string[], self: string, now: number) => void;
  /** Maximum number of connections of this instance to the database; at least 1. */
  compute: (now: number) => number;
  /** Records a connection that the database refused because of its limit. */
  recordRefusal: (now: number) => void;
}

/** @public */
export const DEFAULT_CONNECTION_SHARE_TIMES = {
  holdDownMilliseconds: 15_000,
  warmUpMilliseconds: 3_000,
};

const DECREASE_FACTOR = 0.75;
/** Further refusals within this time do not reduce the share again. */
const DECREASE_COOLDOWN_MILLISECONDS = 1_000;
/** A reduced share grows by one connection per interval. */
const INCREASE_INTERVAL_MILLISECONDS = 5_000;

/**
 * Computes this instance's share of a database's connections from a list of instances that may lag.
 *
 * An unlisted instance counts until its hold-down ends, and a new one uses one reserved connection
 * during its warm-up. If lists lag by no more than these times, the shares do not exceed the limit in
 * total. A refused connection reduces the share temporarily.
 *
 * @public
 */
export function createConnectionShare(options: ConnectionShareOptions): ConnectionShare {
  const { connectionLimit, reservedConnections, holdDownMilliseconds, warmUpMilliseconds } = {
    ...DEFAULT_CONNECTION_SHARE_TIMES,
    ...options,
  };
  const lastSeenAt = new Map<string, number>();
  const shareableConnections = Math.max(1, connectionLimit - reservedConnections);
  let listedNames = new Set<string>();
  let firstUpdateAt: number | undefined;
  let connectionCap: number | undefined;
  let cappedAt = 0;

  const countInstances = (now: number): number => {
    let count = 0;
    lastSeenAt.forEach((seenAt, name) => {
      if (listedNames.has(name) || now - seenAt < holdDownMilliseconds) {
        count += 1;
      } else {
        lastSeenAt.delete(name);
      }
    });
    return Math.max(1, count);
  };

  const computeListShare = (now: number): number => {
    if (firstUpdateAt === undefined || now - firstUpdateAt < warmUpMilliseconds) return 1;
    return Math.max(1, Math.floor(shareableConnections / countInstances(now)));
  };

  const compute = (now: number): number => {
    const listShare = computeListShare(now);
    if (connectionCap === undefined) return listShare;
    const recoveringShare =
      connectionCap + Math.floor((now - cappedAt) / INCREASE_INTERVAL_MILLISECONDS);
    if (recoveringShare < listShare) return recoveringShare;
    connectionCap = undefined;
    return listShare;
  };

  const update = (liveInstances: string[], self: string, now: number) => {
    firstUpdateAt ??= now;
    // Instances of the previous list count as seen until now.
    listedNames.forEach((name) => lastSeenAt.set(name, now));
    listedNames = new Set([...liveInstances, self]);
    listedNames.forEach((name) => lastSeenAt.set(name, now));
  };

  const recordRefusal = (now: number) => {
    if (connectionCap !== undefined && now - cappedAt < DECREASE_COOLDOWN_MILLISECONDS) return;
    connectionCap = Math.max(1, Math.floor(compute(now) * DECREASE_FACTOR));
    cappedAt = now;
  };

  return { update, compute, recordRefusal };
}
