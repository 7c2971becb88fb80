import { createLatencyEstimate } from '@wisterialift/pooling';
import type { LatencyEstimate } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { DirectoryEntry } from '../ports/platformPort';
import type { UpstreamPool } from './upstreamPool';

/** One database of a group, as this instance knows it. */
export interface Member {
  entry: DirectoryEntry;
  pool: UpstreamPool;
  /** Time that reads take there, its queue and the way included. */
  latency: LatencyEstimate;
  /** Log that it had applied when it answered last. */
  applied: Position | undefined;
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

export function createMember(options: {
  entry: DirectoryEntry;
  pool: UpstreamPool;
  isNear: boolean;
}): Member {
  const { entry, pool, isNear } = options;
  const { sameDataCentre, otherDataCentre } = INITIAL_LATENCY_MILLISECONDS;
  return {
    entry,
    pool,
    latency: createLatencyEstimate(isNear ? sameDataCentre : otherDataCentre),
    applied: undefined,
    answeredAt: -Infinity,
    avoidUntil: -Infinity,
    failures: 0,
    missingSince: undefined,
  };
}

/** Keeps statements away from a member that cannot be reached, and tries it again later. */
export function avoidMember(member: Member, now: number): void {
  const pause = FIRST_PAUSE_MILLISECONDS * 2 ** member.failures;
  Object.assign(member, {
    avoidUntil: now + Math.min(LONGEST_PAUSE_MILLISECONDS, pause),
    failures: Math.min(member.failures + 1, 8),
  });
}

export function noteAnswer(member: Member, now: number): void {
  Object.assign(member, { answeredAt: now, failures: 0, avoidUntil: -Infinity });
}
