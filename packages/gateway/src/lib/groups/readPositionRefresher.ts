import type { MemberReport } from '@wisterialift/pooling';
import { getHigherPosition } from '@wisterialift/schema';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import { createSequencedTime } from './groupContext';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
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
 * Unless a sole member acknowledged some, every acknowledged commit is in the log of another member,
 * so the most advanced of those logs is sufficient if the primary is unreachable or out of
 * connections.
 */
export function createReadPositionRefresher(
  context: GroupContext,
  guard: Pick<SoleMemberGuard, 'isEveryCommitReplicated' | 'isReplicationProven'>,
): ReadPositionRefresher {
  const { primaryTracker, clock, evidence, members } = context;
  let pendingRefresh: Promise<void> | undefined;

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
    const responses = await Promise.all(others.map(queryReport));
    const reports = responses.filter((report): report is MemberReport => report !== undefined);
    const [first, ...rest] = reports.map(({ received }) => received);
    if (!first || reports.length < Math.max(1, members.size - 1)) return false;
    if (!guard.isReplicationProven()) {
      const hasAnswered = resolveWithTimeout(clock, primaryAnswer, PRIMARY_GRACE_MILLISECONDS);
      if (await hasAnswered) return true;
      if (!(await guard.isEveryCommitReplicated())) return false;
    }
    evidence.addFloor({
      requestSequenceNumber: sentStamp.sequence,
      requestedAt: sentStamp.readings,
      position: rest.reduce(getHigherPosition, first),
    });
    return true;
  }

  return {
    refresh: () => {
      pendingRefresh ??= refreshOnce().finally(() => {
        pendingRefresh = undefined;
      });
      return pendingRefresh;
    },
  };
}

/** Resolves to true at the first true answer, or to false if all answers are false. */
function waitForFirstTrue(answers: Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const answer of answers) void answer.then((isTrue) => isTrue && resolve(true));
    void Promise.all(answers).then(() => resolve(false));
  });
}
