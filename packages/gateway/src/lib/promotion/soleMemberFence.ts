import { choosePromotionCandidate } from '@wisterialift/pooling';
import type {
  MemberReport,
  PausedReplica,
  PromotionRecord,
  TermStart,
} from '@wisterialift/pooling';
import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext } from '../groups/groupContext';
import { isKnownToAllInstances } from '../groups/member';
import type { Member } from '../groups/member';
import { sendMemberCommand } from '../groups/sendMemberCommand';
import type { SoleMemberGuard } from '../groups/soleMemberGuard';

/** Outcome of fencing a sole member before a promotion. */
export type FenceOutcome =
  /** No instance relies on a sole member. */
  | { type: 'notNeeded' }
  /** The member is no longer primary; no write is added to its log, which ends at `received`. */
  | { type: 'fenced'; memberId: string; received: Position }
  /** Some instance may still acknowledge writes that only the sole member holds. */
  | { type: 'failed' };

/**
 * Fences the member that instances may rely on alone, before a member that they may not know yet is
 * promoted.
 */
export interface SoleMemberFence {
  /**
   * Whether a promotion can go on: the sole member answers and a staying replica follows its log, or
   * it has left the directory and no instance relies on it alone any more.
   */
  canPromote: (record: PromotionRecord) => Promise<boolean>;
  /** Demotes the sole member and waits until a replica has received its whole log. */
  fence: (record: PromotionRecord, term: number) => Promise<FenceOutcome>;
}

const REQUEST_TIMEOUT_MILLISECONDS = 400;

/** Time in which a replica that follows the primary receives a commit. */
const FOLLOWING_DELAY_MILLISECONDS = 100;

/** Limit of the wait for the rest of a demoted member's log; a claim is valid for longer. */
const CATCH_UP_TIMEOUT_MILLISECONDS = 500;
const CATCH_UP_POLL_MILLISECONDS = 30;

export function createSoleMemberFence(
  context: GroupContext,
  { isReplicationProven }: Pick<SoleMemberGuard, 'isReplicationProven'>,
): SoleMemberFence {
  const { clock, group, logger, members } = context;

  const findSoleMember = ({ soleMemberId }: PromotionRecord) => members.get(soleMemberId ?? '');

  /** Whether commits may rest on the sole member that the record names. */
  const isNeeded = ({ soleMemberId }: PromotionRecord) =>
    soleMemberId !== undefined && !isReplicationProven();

  /** A listed member is alive; the writes that only it holds are not given up while it may return. */
  const isGone = (record: PromotionRecord) =>
    !findSoleMember(record) &&
    [...members.values()].some((member) => isKnownToAllInstances(member, clock.now()));

  const queryStatus = (member: Member): Promise<MemberReport | undefined> =>
    sendMemberCommand(context, member, { type: 'status' }, REQUEST_TIMEOUT_MILLISECONDS);

  /** Whether a replica that can be promoted has received the log up to `position`. */
  async function isReceived(position: Position, soleMember: Member): Promise<boolean> {
    const replicas = [...members.values()].filter(
      (member) =>
        member !== soleMember && !member.entry.isLeaving && member.missingSince === undefined,
    );
    const reports = await Promise.all(replicas.map(queryStatus));
    return reports.some((report) => report && comparePositions(report.received, position) >= 0);
  }

  async function canPromote(record: PromotionRecord): Promise<boolean> {
    if (!isNeeded(record)) return true;
    const soleMember = findSoleMember(record);
    const report = soleMember && (await queryStatus(soleMember));
    if (!report) return isGone(record);
    if (!report.isPrimary) return true;
    await clock.sleep(FOLLOWING_DELAY_MILLISECONDS);
    return isReceived(report.received, soleMember);
  }

  function demote(member: Member, term: number): Promise<MemberReport | undefined> {
    const command = { type: 'demote' as const, term };
    return sendMemberCommand(context, member, command, REQUEST_TIMEOUT_MILLISECONDS);
  }

  async function waitUntilReceived(position: Position, soleMember: Member): Promise<void> {
    const until = clock.now() + CATCH_UP_TIMEOUT_MILLISECONDS;
    while (!(await isReceived(position, soleMember)) && clock.now() < until) {
      await clock.sleep(CATCH_UP_POLL_MILLISECONDS);
    }
  }

  async function fence(record: PromotionRecord, term: number): Promise<FenceOutcome> {
    if (!isNeeded(record)) return { type: 'notNeeded' };
    const soleMember = findSoleMember(record);
    const report = soleMember && (await demote(soleMember, term));
    logger.info('soleMemberFenced', { group, memberId: record.soleMemberId, term, report });
    if (!report) return { type: isGone(record) ? 'notNeeded' : 'failed' };
    if (report.isPrimary) return { type: 'failed' };
    const { received } = report;
    await waitUntilReceived(received, soleMember);
    return { type: 'fenced', memberId: soleMember.entry.memberId, received };
  }

  return { canPromote, fence };
}

/**
 * Chooses a paused replica that has the whole log of a fenced member. If none has, the fenced member
 * itself leads again, so that the replicas can receive the rest.
 */
export function chooseFencedCandidate(
  replicas: PausedReplica[],
  { fence, started }: { fence: FenceOutcome & { type: 'fenced' }; started?: TermStart },
): { memberId: string; received: Position } {
  const { memberId, received } = fence;
  const complete = replicas.filter((replica) => comparePositions(replica.received, received) >= 0);
  return choosePromotionCandidate(complete, started) ?? { memberId, received };
}
