import { isEveryCommitHeld, subtractMembers } from '@wisterialift/pooling';
import { getHigherPosition } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import { shareRunning } from '../timing/shareRunning';
import { waitForFirstTrue } from '../timing/waitForFirstTrue';
import { createSequencedTime, describeLogEnds } from './groupContext';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { MemberRegistrar } from './memberRegistrar';
import { toRegisteredMember } from './registeredMember';
import { sendMemberCommand } from './sendMemberCommand';
import type { SoleMemberGuard } from './soleMemberGuard';

/**
 * Queries members for a log position that includes every acknowledged commit. Until one is known,
 * all reads go to the primary, and after a start of all instances they took the connections that
 * writes need.
 */
export interface ReadPositionRefresher {
  /** Resolves when the query has succeeded or failed; concurrent calls share one query. */
  refresh: () => Promise<void>;
}

export interface ReadPositionOptions {
  guard: Pick<SoleMemberGuard, 'isEveryCommitReplicated' | 'isReplicationProven'>;
  registrar: Pick<MemberRegistrar, 'findRequired'>;
}

/** Allows for a new connection and two round trips between distant data centres. */
const QUERY_TIMEOUT_MILLISECONDS = 400;

/**
 * Time by which the primary may answer later than the others. Its answer makes a look at the promotion
 * record needless, which costs a call to the store.
 */
const PRIMARY_GRACE_MILLISECONDS = 100;

/** Pause after a failed query. */
const RETRY_DELAY_MILLISECONDS = 50;

/**
 * Creates a refresher that queries the primary and the other members at the same time.
 *
 * Unless a sole member acknowledged some, two registered members hold every acknowledged commit. The
 * most advanced log of all registered members but one is therefore sufficient if the primary is
 * unreachable or out of connections.
 */
export function createReadPositionRefresher(
  context: GroupContext,
  { guard, registrar }: ReadPositionOptions,
): ReadPositionRefresher {
  const { primaryTracker, clock, counters, evidence, group, logger, members } = context;
  let loggedResult: string | undefined;

  async function refreshOnce(): Promise<void> {
    const primary = primaryTracker.find();
    const primaryAnswer = queryPrimary(primary);
    const othersAnswer = queryOtherMembers(primary, primaryAnswer);
    const isRefreshed = await waitForFirstTrue([primaryAnswer, othersAnswer]);
    if (!isRefreshed) await primaryTracker.waitForChange(RETRY_DELAY_MILLISECONDS);
  }

  async function queryPrimary(primary: Member | undefined): Promise<boolean> {
    const report = primary && (await queryReport(primary));
    return report?.isPrimary ?? false;
  }

  async function queryReport(member: Member) {
    if (member.avoidUntil > clock.now()) return undefined;
    return sendMemberCommand(context, member, { type: 'status' }, QUERY_TIMEOUT_MILLISECONDS);
  }

  async function queryOtherMembers(
    primary: Member | undefined,
    primaryAnswer: Promise<boolean>,
  ): Promise<boolean> {
    const others = [...members.values()].filter((member) => member !== primary);
    const sentStamp = createSequencedTime(context);
    const reports = await Promise.all(others.map(queryReport));
    const answers = others.flatMap((member, index) => {
      const report = reports[index];
      return report ? [{ member: toRegisteredMember(member), received: report.received }] : [];
    });
    if (answers.length === 0) return false;
    if (!guard.isReplicationProven()) {
      const hasAnswered = resolveWithTimeout(clock, primaryAnswer, PRIMARY_GRACE_MILLISECONDS);
      if (await hasAnswered) return true;
      if (!(await guard.isEveryCommitReplicated())) return false;
    }
    const required = await registrar.findRequired();
    const answered = answers.map(({ member }) => member);
    const unansweredIds =
      required && subtractMembers(required, answered).map(({ memberId }) => memberId);
    if (!required || !isEveryCommitHeld(required, answered)) {
      counters.positionsNotFound += 1;
      logResult('readPositionNotFound', { unansweredIds });
      return false;
    }
    const position = answers.map(({ received }) => received).reduce(getHigherPosition);
    counters.positionsFound += 1;
    logResult('readPositionFound', { unansweredIds, position });
    evidence.addFloor({
      requestSequenceNumber: sentStamp.sequence,
      requestedAt: sentStamp.readings,
      position,
    });
    return true;
  }

  /** Logs a result that differs from the one before, because reads repeat the query all the time. */
  function logResult(
    event: 'readPositionFound' | 'readPositionNotFound',
    fields: { unansweredIds?: string[]; position?: Position },
  ): void {
    const result = JSON.stringify({ event, ...fields });
    if (result === loggedResult) return;
    loggedResult = result;
    logger.info(event, { group, ...fields, logEnds: describeLogEnds(context) });
  }

  return { refresh: shareRunning(refreshOnce) };
}
