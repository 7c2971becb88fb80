/** The holders of a group and one of its members, as one holder sees them. @public */
export interface ConnectionShareInput {
  /** Connections that the member accepts. */
  maximumConnections: number;
  /** Number of instances that keep connections to the member. */
  holders: number;
  /** Number of those in the member's data centre. */
  holdersNearMember: number;
  /** Whether this holder is in the member's data centre. */
  isNearMember: boolean;
  /** Whether this holder considers the member the primary. */
  isPrimary: boolean;
}

/**
 * Part of a member's connections that instances share. The rest covers uneven load and dead
 * connections that a member still counts after an outage.
 */
const SHARED_PART = 0.6;

/**
 * Largest part of a member's connections that one instance opens. It exceeds an even share because
 * callers are distributed unevenly.
 *
 * @public
 */
export const MAXIMUM_CONNECTION_PART = 0.5;

/**
 * Part of its even share that a holder keeps at a distant primary. It covers reads that fall back to
 * the primary while replicas lag.
 */
const DISTANT_PRIMARY_PART = 0.25;

/** Returns the share of each holder if all have the same. @public */
export function computeEvenShare(maximumConnections: number, holders: number): number {
  return Math.max(1, Math.floor((maximumConnections * SHARED_PART) / holders));
}

/**
 * Computes how many connections to a member a holder may keep while statements of many teams need the
 * primary. Each team needs its own connections, so the holder that runs these statements keeps most of
 * the shared part, and the others keep less than an even share.
 *
 * A holder raises its share only at the member of its own data centre. The sum therefore stays within
 * the shared part while holders agree about the primary, and within the member's limit while they do
 * not: the other holders then keep an even share at most.
 *
 * @public
 */
export function computeConnectionShare(input: ConnectionShareInput): number {
  const { maximumConnections, holders, holdersNearMember, isNearMember, isPrimary } = input;
  const even = computeEvenShare(maximumConnections, holders);
  if (!isPrimary || holdersNearMember === 0) return even;
  const distant = Math.max(1, Math.floor(even * DISTANT_PRIMARY_PART));
  if (!isNearMember) return distant;
  const distantHolders = holders - holdersNearMember;
  const available = Math.min(
    maximumConnections * SHARED_PART - distantHolders * distant,
    maximumConnections - distantHolders * even,
    maximumConnections * MAXIMUM_CONNECTION_PART,
  );
  return Math.max(even, Math.floor(available / holdersNearMember));
}
