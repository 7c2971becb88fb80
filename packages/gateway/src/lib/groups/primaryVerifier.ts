import { planEvidencePolls } from '@wisterialift/core';
import type { EvidencePollPlan } from '@wisterialift/core';
import type { AgeLimit, ConfirmationWait } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import type { Route } from '../configuration/gatewayConfiguration';
import type { EvidencePoller } from './evidencePoller';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import type { SequencedTime, GroupContext } from './groupContext';
import { createHolderOptions } from './holderOptions';
import type { HolderRegistrar } from './holderOptions';
import type { Member } from './member';
import { sendMemberCommand } from './sendMemberCommand';
import type { SoleMemberGuard } from './soleMemberGuard';

/** Verifies that answers of the primary are current and its commits replicated. */
export interface PrimaryVerifier {
  /**
   * Whether a read whose answer shows a log end in `term` includes all commits acknowledged at least
   * `maximumStaleness` milliseconds before `eventStamp`, the arrival of the read or the start of its
   * transaction.
   *
   * Guards against a replaced primary that still answers and lacks later commits.
   */
  verifyCurrent: (options: {
    member: Member;
    term: number;
    /**
     * Highest term that the member was confirmed as the primary of before the read was sent. The log
     * of a promoted primary ends in an earlier term until its first commit.
     */
    confirmedTerm: number;
    eventStamp: SequencedTime;
    maximumStaleness: number;
    /** When replicas are polled; see `planPolls`. */
    polls: EvidencePollPlan;
    deadlineAt: number;
  }) => Promise<boolean>;
  /**
   * Polls replicas from now on for a read that will have to be verified, so that the evidence arrives
   * with its answer.
   *
   * @returns a function that stops the polling.
   */
  pollAhead: (polls: EvidencePollPlan) => () => void;
  /**
   * Whether a pending wait has exceeded the stall timeout, or the group's only member cannot be
   * relied on; callers should start no further waits.
   */
  isStalled: () => boolean;
  /**
   * Waits until a second member holds a commit of the primary, a later term supersedes it or the
   * deadline passes (`unknown`). The only member of a group is enough while it can be relied on alone.
   */
  waitForReplication: (options: {
    member: Member;
    position: Position;
    /** When the commit was requested. */
    requestedAt: number;
    polls: EvidencePollPlan;
    deadlineAt: number;
  }) => Promise<'replicated' | 'superseded' | 'unknown'>;
}

/**
 * Time without evidence after which the primary is suspected to be disconnected from its replicas.
 * Evidence usually takes less than 100 ms, and less than 650 ms if a second replica is polled because
 * the first does not answer.
 */
const STALL_TIMEOUT_MILLISECONDS = 900;

/**
 * Part of a route's goal to wait for evidence before polling. Transactions can wait twice, and then
 * still have over half of their goal for their statements.
 */
const POLL_DELAY_SHARE = 0.2;

/** Regular reads usually provide evidence sooner than this: one comes about every 250 ms. */
const MAXIMUM_POLL_DELAY_MILLISECONDS = 300;

/** Pause between polls, in which a lagging replica can catch up. */
const POLL_INTERVAL_MILLISECONDS = 150;

/** Returns when replicas are polled for statements of a route. */
export function planPolls(
  { isLoadControlEnabled }: Pick<GroupContext, 'isLoadControlEnabled'>,
  { goal }: Route,
): EvidencePollPlan {
  if (isLoadControlEnabled('promptEvidence')) return planEvidencePolls({ goal });
  return {
    firstDelay: Math.min(MAXIMUM_POLL_DELAY_MILLISECONDS, goal * POLL_DELAY_SHARE),
    getInterval: () => POLL_INTERVAL_MILLISECONDS,
  };
}

interface EvidenceOptions {
  member: Member;
  /** Whether the primary was seen to lead its replicas meanwhile; false if omitted. */
  isLeading?: () => boolean;
  polls: EvidencePollPlan;
  deadlineAt: number;
}

const ROLE_QUERY_TIMEOUT_MILLISECONDS = 400;

export function createPrimaryVerifier(
  context: GroupContext,
  {
    poller,
    soleMemberGuard,
    registrar,
  }: {
    poller: EvidencePoller;
    soleMemberGuard: SoleMemberGuard;
    registrar: HolderRegistrar;
  },
): PrimaryVerifier {
  const { primaryTracker, clock, evidence, members } = context;
  const { hasOtherMembers } = soleMemberGuard;

  /** Start times of pending waits, oldest first. */
  const waitStartTimes = new Set<number>();

  /**
   * Returns the term in which the member led when it answered with a log end in `term`, if that is
   * certain.
   */
  async function findLedTerm(
    member: Member,
    { term, confirmedTerm }: { term: number; confirmedTerm: number },
  ): Promise<number | undefined> {
    const { memberId } = member.entry;
    const isKnown = () => term >= confirmedTerm && primaryTracker.isConfirmed(memberId, term);
    if (isKnown()) return term;
    const report = await sendMemberCommand(
      context,
      member,
      { type: 'status' },
      ROLE_QUERY_TIMEOUT_MILLISECONDS,
    );
    if (isKnown()) return term;
    // A query without a report proves nothing. After a loss of all instances it found no connection,
    // and rejecting the member left the group without a primary for seconds.
    if (!report) return undefined;
    const ledTerm = Math.max(term, confirmedTerm);
    // A member that still leads the term has not lost its log since it was confirmed.
    if (report.isPrimary && report.term === ledTerm) return ledTerm;
    if (!report.isPrimary) primaryTracker.rejectPrimary(member, ledTerm);
    return undefined;
  }

  /** Whether replicas that prove it answered in `term` to commands that were sent within the age limit. */
  function hasRecentReply(member: Member, term: number, limit: AgeLimit): boolean {
    const { memberId: primaryId } = member.entry;
    const confirmers = [...members.keys()].filter((memberId) => {
      if (memberId === primaryId) return false;
      const seen = evidence.getLatestObservation(memberId);
      return seen !== undefined && seen.term === term && evidence.isRecent(seen, limit);
    });
    const { isHeldByAll, isRegistered } = registrar;
    return confirmers.some(isRegistered) || isHeldByAll([primaryId, ...confirmers]);
  }

  async function waitForEvidence(wait: ConfirmationWait, options: EvidenceOptions) {
    const { member, isLeading = () => false, polls, deadlineAt } = options;
    const stopPolling = poller.startPolling(polls);
    const startedAt = clock.now();
    waitStartTimes.add(startedAt);
    const cancelStallTimer = clock.runAfter(STALL_TIMEOUT_MILLISECONDS, () => {
      if (!isLeading()) context.suspectPrimary('unconfirmed', member);
    });
    const result = await resolveWithTimeout(clock, wait.result, deadlineAt - clock.now());
    cancelStallTimer();
    waitStartTimes.delete(startedAt);
    stopPolling();
    wait.cancel();
    return result;
  }

  const isStalled = () => {
    const [oldest] = waitStartTimes;
    const isWaiting = oldest !== undefined && clock.now() - oldest > STALL_TIMEOUT_MILLISECONDS;
    return isWaiting || soleMemberGuard.isBlocked();
  };

  return {
    isStalled,
    pollAhead: poller.startPolling,
    verifyCurrent: async ({
      member,
      eventStamp,
      maximumStaleness,
      polls,
      deadlineAt,
      ...terms
    }) => {
      const term = await findLedTerm(member, terms);
      if (term === undefined) return false;
      if (!hasOtherMembers(member)) {
        const waitUntil = Math.min(deadlineAt, clock.now() + STALL_TIMEOUT_MILLISECONDS);
        return soleMemberGuard.waitForPermit({ member, term, deadlineAt: waitUntil });
      }
      const limit = { now: eventStamp.readings, maximumAge: maximumStaleness };
      if (maximumStaleness > 0 && hasRecentReply(member, term, limit)) return true;
      const wait = evidence.waitForTermConfirmation({
        ...createHolderOptions(context, registrar, member.entry.memberId),
        term,
        sequence: eventStamp.sequence,
      });
      // The status question took the time in which regular answers usually provide evidence.
      const hasAsked = terms.term < terms.confirmedTerm;
      const result = await waitForEvidence(wait, {
        member,
        polls: hasAsked ? { ...polls, firstDelay: 0 } : polls,
        deadlineAt,
      });
      if (result?.type === 'superseded') primaryTracker.rejectPrimary(member, term);
      return result?.type === 'proved';
    },
    waitForReplication: async ({ member, position, requestedAt, polls, deadlineAt }) => {
      const { term } = position;
      if (await soleMemberGuard.waitForPermit({ member, term, deadlineAt })) return 'replicated';
      const holderOptions = createHolderOptions(context, registrar, member.entry.memberId);
      const wait = evidence.waitForReplication({ position, ...holderOptions });
      const isLeading = wait.isReceived;
      const result = await waitForEvidence(wait, { member, isLeading, polls, deadlineAt });
      if (!result) return 'unknown';
      if (result.type === 'superseded') {
        primaryTracker.rejectPrimary(member, position.term);
        return 'superseded';
      }
      soleMemberGuard.recordReplication(requestedAt);
      return 'replicated';
    },
  };
}
