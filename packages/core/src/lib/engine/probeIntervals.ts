import { getTerm } from './memberTable';
import type { Member, MemberTable } from './memberTable';
import type { EnginePolicy } from './messages';

/** Intervals between status probes. @internal */
export interface ProbeIntervals {
  /** Marks the group as in use. */
  onRequest: (now: number) => void;
  /** Returns the interval between probes of the member, in milliseconds. */
  getInterval: (member: Member, now: number) => number;
}

/** A group is idle once this long has passed since its last request. */
const IDLE_TIMEOUT_MILLISECONDS = 3_000;
/** Consecutive refused connections after which a member is no longer probed faster. */
const MAXIMUM_FAST_PROBES = 5;
const FAST_PROBE_FACTOR = 0.5;

/**
 * Creates probe intervals, longer for idle, healthy groups to save control traffic.
 *
 * A request, a failed probe, a member with another term or a failover restores the normal interval.
 *
 * @internal
 */
export function createProbeIntervals(options: {
  policy: EnginePolicy;
  members: MemberTable;
  /** Whether no failover is in progress. */
  isSteady: () => boolean;
}): ProbeIntervals {
  const { policy, members, isSteady } = options;
  const { probeIntervalMilliseconds, idleProbeIntervalMilliseconds } = policy;
  let inUseUntil = Number.NEGATIVE_INFINITY;

  function isIdleAndHealthy(now: number): boolean {
    if (now < inUseUntil || !isSteady()) return false;
    const primary = members.getPrimary();
    if (!primary) return false;
    const term = getTerm(primary);
    return members.list().every((member) => isHealthy(member, term));
  }

  function isNewlyUnreachable({ consecutiveUnreachable }: Member): boolean {
    return consecutiveUnreachable > 0 && consecutiveUnreachable < MAXIMUM_FAST_PROBES;
  }

  /** Faster probes distinguish a dead process from a transient fault sooner. */
  function getInterval(member: Member, now: number): number {
    if (isNewlyUnreachable(member)) return probeIntervalMilliseconds * FAST_PROBE_FACTOR;
    return isIdleAndHealthy(now) ? idleProbeIntervalMilliseconds : probeIntervalMilliseconds;
  }

  return {
    onRequest: (now) => {
      inUseUntil = now + IDLE_TIMEOUT_MILLISECONDS;
    },
    getInterval,
  };
}

function isHealthy(member: Member, term: number): boolean {
  return member.consecutiveFailures === 0 && getTerm(member) === term && !member.database.leaving;
}
