import type { MemberReport } from '@wisterialift/pooling';
import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext } from './groupContext';
import { isLogEndReceived } from './primaryProbe';
import type { ProbeIndirectly } from './primaryProbe';
import { sendMemberCommand } from './sendMemberCommand';
import { isWrite } from './statementRequest';
import type { StatementRequest } from './statementRequest';

/** What a statement needs besides a connection to some member. */
export interface StatementNeeds {
  request: StatementRequest;
  /** Whether it begins a transaction that is not read-only. */
  beginsReadWriteTransaction?: boolean;
}

/**
 * Knows whether this instance is partitioned from members that another instance may reach.
 *
 * A holder on the wrong side of a partition would otherwise keep the statements of others until their
 * time limit, although a holder on the other side could run them at once.
 */
export interface ReachMonitor {
  /** Records that no replica answered; the primary can then prove and replicate nothing. */
  reportSilentReplicas: () => void;
  /** Records that the primary does not answer, although its replicas still receive its log. */
  reportUnreachablePrimary: () => void;
  /** Whether this instance does not reach the members that a statement needs. */
  isOutOfReach: (needs: StatementNeeds) => boolean;
  close: () => void;
}

/** Interval at which members that do not answer are queried again. */
const CHECK_INTERVAL_MILLISECONDS = 500;

const QUERY_TIMEOUT_MILLISECONDS = 400;

/**
 * Time without a new log entry, and without an instance that reaches it, after which an unreachable
 * primary may be down, so that statements wait for its successor instead of being sent elsewhere.
 */
const PRIMARY_LIFE_SIGN_MILLISECONDS = 1_500;

/** Whether only the primary can run a statement. */
export function needsPrimary({ request, beginsReadWriteTransaction = false }: StatementNeeds) {
  return beginsReadWriteTransaction || request.route.consistency === 'primary' || isWrite(request);
}

/** @param options.hasOtherHolders - whether statements can be sent to another instance. */
export function createReachMonitor(
  context: GroupContext,
  {
    hasOtherHolders,
    probeIndirectly,
  }: { hasOtherHolders: () => boolean; probeIndirectly: ProbeIndirectly },
): ReachMonitor {
  const { clock, group, logger, members, primaryTracker, isMechanismEnabled } = context;
  let areReplicasSilent = false;
  /** When the unreachable primary last gave a sign of life; undefined if it is reachable. */
  let primaryAliveAt: number | undefined;
  let highestReceived: Position | undefined;
  let isLogGrowing = false;
  let isChecking = false;
  let isClosed = false;

  const hasFinding = () => areReplicasSilent || primaryAliveAt !== undefined;

  function startChecks(finding: Record<string, unknown>): void {
    if (isChecking || isClosed || !hasOtherHolders()) return;
    if (!isMechanismEnabled('otherHolders')) return;
    isChecking = true;
    logger.warn('membersOutOfReach', { group, ...finding });
    void checkUntilReached();
  }

  async function checkUntilReached(): Promise<void> {
    while (hasFinding() && !isClosed) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS);
      await checkMembers();
    }
    isChecking = false;
    logger.info('membersReached', { group });
  }

  async function checkMembers(): Promise<void> {
    const primary = primaryTracker.find();
    const listed = [...members.values()].filter(({ missingSince }) => missingSince === undefined);
    const logEnds: Position[] = [];
    const isProbeNeeded = primaryAliveAt !== undefined && !isLogGrowing;
    const probe =
      primary && isProbeNeeded
        ? probeIndirectly(primary.entry.memberId, (logEnd) => logEnds.push(logEnd))
        : undefined;
    const answers = await Promise.all(
      listed.map(async (member) => ({
        member,
        report: await sendMemberCommand(
          context,
          member,
          { type: 'status' },
          QUERY_TIMEOUT_MILLISECONDS,
        ),
      })),
    );
    const replicaReports = answers.flatMap(({ member, report }) =>
      member !== primary && report ? [report] : [],
    );
    const hasPrimaryAnswered = answers.some(({ member, report }) => member === primary && report);
    const hasReplica = listed.some((member) => member !== primary);
    areReplicasSilent = areReplicasSilent && hasReplica && replicaReports.length === 0;
    if (hasPrimaryAnswered) primaryAliveAt = undefined;
    if (primaryAliveAt === undefined) return;
    await probe;
    isLogGrowing = recordGrowth(replicaReports);
    if (isLogGrowing || logEnds.some((logEnd) => isLogEndReceived(logEnd, replicaReports))) {
      primaryAliveAt = clock.now();
    } else if (clock.now() - primaryAliveAt > PRIMARY_LIFE_SIGN_MILLISECONDS) {
      primaryAliveAt = undefined;
    }
  }

  function recordGrowth(reports: MemberReport[]): boolean {
    const [latest] = reports
      .map(({ received }) => received)
      .sort((left, right) => comparePositions(right, left));
    const hasGrown =
      latest !== undefined && (!highestReceived || comparePositions(latest, highestReceived) > 0);
    if (hasGrown) highestReceived = latest;
    return hasGrown;
  }

  return {
    reportSilentReplicas: () => {
      areReplicasSilent = true;
      startChecks({ cause: 'no replica answers' });
    },
    reportUnreachablePrimary: () => {
      primaryAliveAt = clock.now();
      highestReceived = undefined;
      isLogGrowing = true;
      startChecks({ cause: 'the primary is alive and does not answer' });
    },
    isOutOfReach: (needs) =>
      isChecking && (areReplicasSilent || (primaryAliveAt !== undefined && needsPrimary(needs))),
    close: () => {
      isClosed = true;
    },
  };
}
