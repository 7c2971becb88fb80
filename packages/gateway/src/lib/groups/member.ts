import {
  createLatencyEstimate,
  createLagEstimate,
  computeAgeUpperBound,
  MEMBER_SETTLING_MILLISECONDS,
} from '@wisterialift/pooling';
import type { ClockReadings, LatencyEstimate, LagEstimate } from '@wisterialift/pooling';
import type { IsLoadControlEnabled } from '../configuration/loadControls';
import type { IsMechanismEnabled } from '../mechanisms';
import type { Clock } from '../ports/clock';
import type { CachedDirectoryEntry } from '../directory/directoryCache';
import { createStatementAdmission } from './statementAdmission';
import { createAdaptiveConcurrency, createFixedConcurrency } from './memberConcurrency';
import type { AdaptiveConcurrencyOptions, MemberConcurrency } from './memberConcurrency';
import type { FairOrderOptions, StatementAdmission } from './statementAdmission';
import type { UpstreamPool } from './upstreamPool';

/** This instance's state for one database of a group. */
export interface Member {
  entry: CachedDirectoryEntry;
  pool: UpstreamPool;
  /** Limits the concurrent statements of this instance at the member. */
  admission: StatementAdmission;
  /** The limit that `admission` applies. */
  concurrency: MemberConcurrency;
  /** Response time of statements, including network and the member's queue. */
  latency: LatencyEstimate;
  lag: LagEstimate;
  answeredAt: number;
  /** Time before which no statement is sent to the member. */
  avoidUntil: number;
  failures: number;
  /** When the directory stopped listing the member; undefined while it is listed. */
  missingSince: number | undefined;
  /** When this instance first saw the member's current entry. */
  listedSince: number;
}

/** Expected latency before the first measurement. */
export const INITIAL_LATENCY_MILLISECONDS = { sameDataCentre: 30, otherDataCentre: 55 };

/** Backoff after a failed connection, doubled for each further failure up to the maximum. */
const INITIAL_BACKOFF_MILLISECONDS = 150;
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000;

/**
 * Concurrent statements of one instance for each slot of a member. Above 1 to keep all slots busy,
 * but low enough that several instances together do not overflow the member's queue: it holds about
 * eight statements a slot, which seven instances fill at 1.5.
 */
const STATEMENTS_PER_SLOT = 1.5;

export interface MemberOptions extends Pick<
  AdaptiveConcurrencyOptions,
  'group' | 'countConnectedInstances' | 'getTargetDelay' | 'logger'
> {
  entry: CachedDirectoryEntry;
  pool: UpstreamPool;
  isSameDataCentre: boolean;
  clock: Clock;
  isMechanismEnabled: IsMechanismEnabled;
  isLoadControlEnabled: IsLoadControlEnabled;
  /** Used where the control `fairOrder` is enabled. */
  fairOrder: FairOrderOptions;
}

export function createMember(options: MemberOptions): Member {
  const { entry, pool, isSameDataCentre, clock, isMechanismEnabled, isLoadControlEnabled } =
    options;
  const { sameDataCentre, otherDataCentre } = INITIAL_LATENCY_MILLISECONDS;
  const latency = createLatencyEstimate(isSameDataCentre ? sameDataCentre : otherDataCentre);
  const concurrency = createConcurrency(options);
  const admission = createStatementAdmission({
    clock,
    getLimit: concurrency.getLimit,
    countFreeConnections: pool.countFreeConnections,
    estimateStatementTime: () => latency.getCurrent(clock.now()),
    estimateConnectionDelay: pool.estimateDelay,
    isMechanismEnabled,
    onWaiting: pool.raiseLimit,
    fairOrder: isLoadControlEnabled('fairOrder') ? options.fairOrder : undefined,
  });
  return {
    entry,
    pool,
    admission,
    concurrency,
    latency,
    lag: createLagEstimate(),
    answeredAt: -Infinity,
    avoidUntil: -Infinity,
    failures: 0,
    missingSince: undefined,
    listedSince: clock.now(),
  };
}

function createConcurrency(options: MemberOptions): MemberConcurrency {
  const { memberId, slots } = options.entry;
  const ceiling = Math.max(2, Math.ceil(slots * STATEMENTS_PER_SLOT));
  return options.isLoadControlEnabled('adaptiveConcurrency')
    ? createAdaptiveConcurrency({ ...options, memberId, slots, ceiling })
    : createFixedConcurrency(ceiling);
}

/** Whether every instance that relies on its directory knows the member at time `now`. */
export function isKnownToAllInstances({ listedSince, missingSince }: Member, now: number): boolean {
  return missingSince === undefined && now - listedSince >= MEMBER_SETTLING_MILLISECONDS;
}

/** Returns the upper bound of the time a member has been leaving, as log fields. */
export function describeLeavingTime(
  leavingSince: ClockReadings | undefined,
  now: ClockReadings,
): { leavingMilliseconds?: number } {
  if (!leavingSince) return {};
  return { leavingMilliseconds: Math.round(computeAgeUpperBound(leavingSince, now)) };
}

/** Sends no statements to an unreachable member until an exponential backoff has passed. */
export function backOffFromMember(member: Member, now: number): void {
  const backoff = INITIAL_BACKOFF_MILLISECONDS * 2 ** member.failures;
  Object.assign(member, {
    avoidUntil: now + Math.min(MAXIMUM_BACKOFF_MILLISECONDS, backoff),
    failures: Math.min(member.failures + 1, 8),
  });
}
