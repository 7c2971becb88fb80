/**
 * Return times and return credits of refused statements.
 *
 * Intended for an overload in which callers that are told the same short time return together, find
 * the same full queue and use up their attempts.
 */

/** Limits of a return time, in milliseconds. */
export const MINIMUM_RETURN_MILLISECONDS = 50;
export const MAXIMUM_RETURN_MILLISECONDS = 2_000;

/** Used if the expected wait is not known; most failovers end within this time. */
const UNKNOWN_WAIT_MILLISECONDS = 300;

/** Distance between two places if no completion has been observed: about one short statement. */
export const UNKNOWN_INTERVAL_MILLISECONDS = 10;

/** Jitter is at most this part of the distance between two places, so that the order remains. */
const JITTER_FRACTION = 0.5;
const MAXIMUM_JITTER_MILLISECONDS = 20;

/**
 * Usual deadline of a caller, in time limits of a statement. An instance does not know the deadline;
 * a caller that tries again at all allows for two time limits.
 */
const USUAL_DEADLINE_TIME_LIMITS = 2;

/**
 * Returns the latest return time with which the statement's time limit still fits once within the
 * caller's usual deadline, in milliseconds.
 */
export function computeLatestReturn({
  timeLimit,
  waited,
}: {
  /** Time limit of the statement, in milliseconds. */
  timeLimit: number;
  /** Milliseconds since the refused statement arrived. */
  waited: number;
}): number {
  const latest = (USUAL_DEADLINE_TIME_LIMITS - 1) * timeLimit - waited;
  return Math.min(MAXIMUM_RETURN_MILLISECONDS, Math.max(MINIMUM_RETURN_MILLISECONDS, latest));
}

/** A refused statement that needs a return time. */
export interface ReturnRequest {
  now: number;
  /** Milliseconds until the queue is expected to have capacity; undefined if not known. */
  expectedWait: number | undefined;
  /** Milliseconds between two completions; 0 if not known. */
  interval: number;
  /** Latest return time, in milliseconds. */
  latest: number;
  /** Random number in [0, 1). */
  jitter: number;
}

/** Return times of the statements that one queue refuses. */
export interface ReturnSchedule {
  /** Reserves the next place and returns the milliseconds until it. */
  reserve: (request: ReturnRequest) => number;
}

/**
 * Creates a schedule in which statements refused consecutively return one completion interval apart.
 *
 * Places beyond the latest return time are folded back into the permitted span. A bound alone would
 * tell all further callers the same time.
 */
export function createReturnSchedule(): ReturnSchedule {
  let lastPlaceAt = -Infinity;

  function reserve({ now, expectedWait, interval, latest, jitter }: ReturnRequest): number {
    const distance = interval || UNKNOWN_INTERVAL_MILLISECONDS;
    const wait = expectedWait ?? UNKNOWN_WAIT_MILLISECONDS;
    const longest = Math.min(MAXIMUM_RETURN_MILLISECONDS, latest);
    const earliest = Math.min(longest, Math.max(MINIMUM_RETURN_MILLISECONDS, wait));
    const offset = Math.max(0, lastPlaceAt + distance - (now + earliest));
    const isBeyondHorizon = earliest + offset > MAXIMUM_RETURN_MILLISECONDS;
    lastPlaceAt = now + earliest + (isBeyondHorizon ? 0 : offset);
    const place = earliest + wrapInto(offset, longest - earliest);
    const spread = jitter * Math.min(MAXIMUM_JITTER_MILLISECONDS, distance * JITTER_FRACTION);
    return Math.round(Math.min(longest, place + spread));
  }

  return { reserve };
}

function wrapInto(offset: number, span: number): number {
  if (offset <= span) return offset;
  return span > 0 ? offset % span : 0;
}

/** Team and database whose statements share return credits. */
export interface CreditOwner {
  /** Undefined for callers that belong to no team. */
  team: string | undefined;
  database: string;
}

/** Places in the order that refused statements keep for their return. */
export interface ReturnCredits {
  give: (
    owner: CreditOwner,
    refused: { arrivedAt: number; now: number; returnMilliseconds: number },
  ) => void;
  /**
   * Uses the oldest credit that applies to a statement.
   *
   * @returns the arrival time by which the statement is ordered; undefined without a credit.
   */
  claim: (owner: CreditOwner, statement: { arrivedAt: number; goal: number }) => number | undefined;
  /** Number of credits kept, including expired ones that were not looked up again. */
  size: () => number;
}

interface Credit {
  key: string;
  arrivedAt: number;
  validFrom: number;
  validUntil: number;
}

const MAXIMUM_CREDITS = 1_000;

/**
 * Part of the goal by which a credit moves a statement forward at most. With all of it, the statement
 * would count as late on arrival, and the fair order places late statements last.
 */
const MAXIMUM_ADVANCE_FRACTION = 0.5;

const toKey = ({ team, database }: CreditOwner) => JSON.stringify([team, database]);

/** Creates an empty set of credits; the oldest is dropped when there are more than the maximum. */
export function createReturnCredits({ maximum = MAXIMUM_CREDITS } = {}): ReturnCredits {
  /** In the order in which they were given. */
  const credits = new Set<Credit>();
  const creditsByKey = new Map<string, Set<Credit>>();

  function remove(credit: Credit): void {
    credits.delete(credit);
    const sameKey = creditsByKey.get(credit.key);
    sameKey?.delete(credit);
    if (sameKey?.size === 0) creditsByKey.delete(credit.key);
  }

  function give(owner: CreditOwner, refused: Parameters<ReturnCredits['give']>[1]): void {
    const { arrivedAt, now, returnMilliseconds } = refused;
    const key = toKey(owner);
    const credit: Credit = {
      key,
      arrivedAt,
      validFrom: now + returnMilliseconds,
      validUntil: now + 2 * returnMilliseconds,
    };
    credits.add(credit);
    const sameKey = creditsByKey.get(key);
    if (sameKey) sameKey.add(credit);
    else creditsByKey.set(key, new Set([credit]));
    if (credits.size <= maximum) return;
    const [oldest] = credits;
    if (oldest) remove(oldest);
  }

  function claim(
    owner: CreditOwner,
    { arrivedAt, goal }: Parameters<ReturnCredits['claim']>[1],
  ): number | undefined {
    for (const credit of creditsByKey.get(toKey(owner)) ?? []) {
      if (arrivedAt > credit.validUntil) {
        remove(credit);
      } else if (arrivedAt >= credit.validFrom) {
        remove(credit);
        return Math.max(credit.arrivedAt, arrivedAt - goal * MAXIMUM_ADVANCE_FRACTION);
      }
    }
    return undefined;
  }

  return { give, claim, size: () => credits.size };
}
