import { termOf } from './memberTable';
import type { Member, MemberTable } from './memberTable';
import type { EnginePolicy } from './messages';

/** How often members are probed. @internal */
export interface ProbePace {
  /** A request arrived: the group is in use. */
  onRequest: (now: number) => void;
  /** Pause between two probes of the member, in milliseconds. */
  interval: (member: Member, now: number) => number;
}

/** How long after its last request a group counts as in use. */
const IN_USE_MILLISECONDS = 3_000;
/** Unreachable members are probed faster up to this many refused questions. */
const DOUBTED_QUESTIONS = 5;
const DOUBT_SHARE = 0.5;

/**
 * Creates the pace of probes: slow while nobody uses the group and nothing is wrong with it.
 *
 * An instance has many groups and most of them idle; their probes at full pace would be most of its
 * control work. A request, a failed question, a member that is behind in term and a change of primary
 * each bring the full pace back at once, so that detection starts from fresh answers as ever. A fault
 * in an idle group shows with the next slow probe.
 *
 * @internal
 */
export function createProbePace(options: {
  policy: EnginePolicy;
  members: MemberTable;
  /** Whether no change of primary is on its way. */
  isSteady: () => boolean;
}): ProbePace {
  const { policy, members, isSteady } = options;
  const { probeIntervalMilliseconds, idleProbeIntervalMilliseconds } = policy;
  let inUseUntil = Number.NEGATIVE_INFINITY;

  function isQuiet(now: number): boolean {
    if (now < inUseUntil || !isSteady()) return false;
    const primary = members.primary();
    if (!primary) return false;
    const term = termOf(primary);
    return members.list().every((member) => isWell(member, term));
  }

  /** A dead process is told from a passing fault sooner, at the price of a few refused connections. */
  function isInDoubt({ unreachableQuestions }: Member): boolean {
    return unreachableQuestions > 0 && unreachableQuestions < DOUBTED_QUESTIONS;
  }

  function interval(member: Member, now: number): number {
    if (isInDoubt(member)) return probeIntervalMilliseconds * DOUBT_SHARE;
    return isQuiet(now) ? idleProbeIntervalMilliseconds : probeIntervalMilliseconds;
  }

  return {
    onRequest: (now) => {
      inUseUntil = now + IN_USE_MILLISECONDS;
    },
    interval,
  };
}

function isWell(member: Member, term: number): boolean {
  return member.failedQuestions === 0 && termOf(member) === term && !member.database.leaving;
}
