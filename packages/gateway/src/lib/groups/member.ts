import { createLatencyEstimate, createReplicaLag, longestAge } from '@wisterialift/pooling';
import type { ClockReadings, LatencyEstimate, ReplicaLag } from '@wisterialift/pooling';
import type { UsesMechanism } from '../mechanisms';
import type { Clock } from '../ports/clock';
import type { KnownEntry } from '../directory/directoryBook';
import { createStatementGate } from './statementGate';
import type { StatementGate } from './statementGate';
import type { UpstreamPool } from './upstreamPool';

/** One database of a group, as this instance knows it. */
export interface Member {
  entry: KnownEntry;
  pool: UpstreamPool;
  /** Statements of this instance that it works at. */
  gate: StatementGate;
  /** Time that reads take there, its queue and the way included. */
  latency: LatencyEstimate;
  lag: ReplicaLag;
  answeredAt: number;
  /** No statement goes there before this time. */
  avoidUntil: number;
  failures: number;
  /** When the directory stopped listing it; undefined while it does. */
  missingSince: number | undefined;
}

/** Expected time of a read before any was measured, by how far the member is. */
export const INITIAL_LATENCY_MILLISECONDS = { sameDataCentre: 30, otherDataCentre: 55 };

/** First pause after a failed connection; doubles up to the second. */
const FIRST_PAUSE_MILLISECONDS = 150;
const LONGEST_PAUSE_MILLISECONDS = 1_000;

/**
 * Statements that one instance has a member work at, for each of its slots. Several instances share a
 * member, whose queue holds about eight statements a slot before it sheds; at 1.5, seven instances
 * fill it to that mark when all of them press, and one alone keeps all slots busy.
 */
const STATEMENTS_PER_SLOT = 1.5;

export function createMember(options: {
  entry: KnownEntry;
  pool: UpstreamPool;
  isNear: boolean;
  clock: Clock;
  uses: UsesMechanism;
}): Member {
  const { entry, pool, isNear, clock, uses } = options;
  const { sameDataCentre, otherDataCentre } = INITIAL_LATENCY_MILLISECONDS;
  const latency = createLatencyEstimate(isNear ? sameDataCentre : otherDataCentre);
  const gate = createStatementGate({
    clock,
    limit: Math.max(2, Math.ceil(entry.slots * STATEMENTS_PER_SLOT)),
    freeConnections: pool.freeConnections,
    expectedTime: () => latency.current(clock.now()),
    delay: pool.delay,
    uses,
    onWaiting: pool.grow,
  });
  return {
    entry,
    pool,
    gate,
    latency,
    lag: createReplicaLag(),
    answeredAt: -Infinity,
    avoidUntil: -Infinity,
    failures: 0,
    missingSince: undefined,
  };
}

/** The longest time that a member may have been leaving, for the log; none where it stays. */
export function describeLeaving(
  leavingSince: ClockReadings | undefined,
  present: ClockReadings,
): { leavingMilliseconds?: number } {
  if (!leavingSince) return {};
  return { leavingMilliseconds: Math.round(longestAge(leavingSince, present)) };
}

/** Keeps statements away from a member that cannot be reached, and tries it again later. */
export function avoidMember(member: Member, now: number): void {
  const pause = FIRST_PAUSE_MILLISECONDS * 2 ** member.failures;
  Object.assign(member, {
    avoidUntil: now + Math.min(LONGEST_PAUSE_MILLISECONDS, pause),
    failures: Math.min(member.failures + 1, 8),
  });
}
