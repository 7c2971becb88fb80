import { choosePromotionCandidate, isClaimValid } from '@wisterialift/pooling';
import type {
  MemberReport,
  PromotionRecord,
  PausedReplica,
  TermStart,
} from '@wisterialift/pooling';
import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext, SuspicionCause } from '../groups/groupContext';
import type { Member } from '../groups/member';
import type { MemberRegistrar } from '../groups/memberRegistrar';
import { isLogEndReceived } from '../groups/primaryProbe';
import type { ProbeIndirectly } from '../groups/primaryProbe';
import type { ReachMonitor } from '../groups/reachMonitor';
import { sendMemberCommand } from '../groups/sendMemberCommand';
import type { SoleMemberGuard } from '../groups/soleMemberGuard';
import { createCoverageCheck, toPausedFormerReplicas } from './coverageCheck';
import type { FormerMembers } from './formerMembers';
import { createPromotionClaims, PROMOTION_TIMEOUT_MILLISECONDS } from './promotionClaims';
import type { Claim } from './promotionClaims';
import { chooseFencedCandidate, createSoleMemberFence } from './soleMemberFence';
import type { PromotionOrderClient, PromotionStore } from '../ports/platformPort';

/** Replaces a primary that is unresponsive, unreachable or leaving. */
export interface PromotionController {
  /**
   * Checks a suspected primary failure and promotes a replica if it is confirmed. Ignored while a
   * check or promotion runs and for `RETRY_DELAY_MILLISECONDS` after it.
   */
  reportSuspicion: (cause: SuspicionCause, member: Member | undefined) => void;
  /** Starts a promotion check if the directory lists no primary or a replaceable leaving one. */
  checkDirectory: () => void;
  /** Reads the start of the newest recorded term; undefined if there is none or on a store error. */
  readTermStart: () => Promise<TermStart | undefined>;
  close: () => void;
}

export interface PromotionControllerOptions {
  instance: string;
  dataCentre: string;
  store: PromotionStore;
  orders: PromotionOrderClient;
  /** Returns a uniform number in [0, 1). */
  random: () => number;
  /** Milliseconds for which a member's entry may be missing before the member is removed. */
  missingMemberRetentionMilliseconds: number;
  /** When the last outage of the directory ended; `-Infinity` if there was none. */
  getDirectoryOutageEnd: () => number;
  /** Reads the directory again. @throws Error if the store does not answer. */
  refreshDirectory: () => Promise<void>;
  soleMemberGuard: Pick<SoleMemberGuard, 'isReplicationProven'>;
  registrar: Pick<MemberRegistrar, 'assessPromotion' | 'isAwaited' | 'isRegistered' | 'refresh'>;
  formerMembers: Pick<FormerMembers, 'request'>;
  probeIndirectly: ProbeIndirectly;
  reachMonitor: Pick<ReachMonitor, 'reportSilentReplicas' | 'reportUnreachablePrimary'>;
}

/** Timeout of a request to a member: three round trips between distant data centres. */
const MEMBER_REQUEST_TIMEOUT_MILLISECONDS = 400;

/** Timeout of a promotion order; `CLAIM_TAKEOVER_MILLISECONDS` allows for it. */
const PROMOTION_ORDER_TIMEOUT_MILLISECONDS = 400;

/** Interval between two status queries that detect whether replicas still receive log entries. */
const REPLICATION_CHECK_INTERVAL_MILLISECONDS = 250;

/** Time without any answer after which the primary may be suspected. */
const PRIMARY_SILENCE_THRESHOLD_MILLISECONDS = 600;

/** Causes that an answer from the primary does not disprove. */
const CAUSES_INDEPENDENT_OF_LIVENESS: ReadonlySet<SuspicionCause> = new Set([
  'unconfirmed',
  'leaving',
]);

/** Delay after a verification or promotion before the next one may start. */
const RETRY_DELAY_MILLISECONDS = 400;

/** Random start delay, so that instances do not all claim the promotion at once. */
const MAXIMUM_START_JITTER_MILLISECONDS = 120;

/** Time for a promoted member to become primary before its status is queried: a second at most, and the way. */
const PROMOTION_WAIT_MILLISECONDS = 1_300;

export function createPromotionController(
  context: GroupContext,
  options: PromotionControllerOptions,
): PromotionController {
  const { primaryTracker, clock, counters, group, logger, members } = context;
  const { instance, dataCentre, orders, reachMonitor, registrar, store, refreshDirectory } =
    options;
  const claims = createPromotionClaims(context, { instance, store });
  const soleMemberFence = createSoleMemberFence(context, options.soleMemberGuard);
  let isBusy = false;
  let isClosed = false;

  const isSilent = (member: Member) =>
    clock.now() - member.answeredAt > PRIMARY_SILENCE_THRESHOLD_MILLISECONDS;

  const coverageCheck = createCoverageCheck(context, {
    ...options,
    isSilent,
    timeoutMilliseconds: MEMBER_REQUEST_TIMEOUT_MILLISECONDS,
  });

  const isMissing = (member: Member) => member.missingSince !== undefined;

  function reportSuspicion(cause: SuspicionCause, member: Member | undefined): void {
    if (isBusy || isClosed || members.size === 0) return;
    if (cause === 'silent' && member && !isSilent(member)) return;
    if (member && member !== primaryTracker.find()) return;
    isBusy = true;
    void handleSuspicion(cause, member).finally(() => {
      clock.runAfter(RETRY_DELAY_MILLISECONDS, () => {
        isBusy = false;
      });
    });
  }

  function checkDirectory(): void {
    const primary = primaryTracker.find();
    if (!primary) {
      if (members.size > 0) reportSuspicion('absent', undefined);
      return;
    }
    if (primary.entry.isLeaving && hasCandidate(primary)) reportSuspicion('leaving', primary);
  }

  async function handleSuspicion(cause: SuspicionCause, member: Member | undefined): Promise<void> {
    try {
      await clock.sleep(options.random() * MAXIMUM_START_JITTER_MILLISECONDS);
      logger.warn('primarySuspected', { group, cause, memberId: member?.entry.memberId });
      if (await isPromotionRuledOut(cause, member)) return;
      await promote(cause, member);
    } catch (error) {
      logger.error('promotionFailed', { group, cause, error: error as Error });
    }
  }

  /** Whether no replica may be promoted: a primary is healthy, or a replica does not answer. */
  async function isPromotionRuledOut(
    cause: SuspicionCause,
    member: Member | undefined,
  ): Promise<boolean> {
    const probedLogEnds: Position[] = [];
    if (member && !CAUSES_INDEPENDENT_OF_LIVENESS.has(cause)) {
      void options.probeIndirectly(member.entry.memberId, (end) => probedLogEnds.push(end));
    }
    const before = await queryMembers(member);
    const reportedPrimaries = before.filter(({ report }) => report?.isPrimary);
    const successor = reportedPrimaries.find(({ isSuspect }) => !isSuspect);
    const [healthyPrimary] =
      successor || CAUSES_INDEPENDENT_OF_LIVENESS.has(cause) ? [successor] : reportedPrimaries;
    if (healthyPrimary) {
      logger.info('primaryCleared', {
        group,
        cause,
        memberId: healthyPrimary.member.entry.memberId,
      });
      return true;
    }
    if (cause === 'leaving') return !hasResponseFromEveryReplica(before);
    await clock.sleep(REPLICATION_CHECK_INTERVAL_MILLISECONDS);
    // Later answers are not used: the log may have grown after the replicas were asked.
    const earlierLogEnds = [...probedLogEnds];
    const after = await queryMembers(member);
    const detail = findLifeSign({ before, after, probedLogEnds: earlierLogEnds });
    if (detail) {
      logger.info('primaryCleared', { group, cause, detail });
      if (member && isSilent(member)) reachMonitor.reportUnreachablePrimary();
      return true;
    }
    const hasNewPrimary = after.some((status) => status.report?.isPrimary && !status.isSuspect);
    return hasNewPrimary || !hasResponseFromEveryReplica(after);
  }

  /**
   * Whether all replicas answered. A promotion that pauses some replicas and then fails on another
   * would leave a live primary unable to replicate its commits.
   */
  function hasResponseFromEveryReplica(statuses: MemberStatuses): boolean {
    const unresponsive = statuses.filter(({ isSuspect, report }) => !isSuspect && !report);
    if (unresponsive.length === 0) return true;
    const memberIds = unresponsive.map(({ member }) => member.entry.memberId);
    logger.warn('replicasSilent', { group, memberIds });
    const replicaCount = statuses.filter(({ isSuspect }) => !isSuspect).length;
    if (unresponsive.length === replicaCount) reachMonitor.reportSilentReplicas();
    return false;
  }

  function queryMembers(primary: Member | undefined): Promise<MemberStatuses> {
    const listedMembers = [...members.values()].filter(
      (member) => member.missingSince === undefined,
    );
    return Promise.all(
      listedMembers.map(async (member) => ({
        member,
        isSuspect: member === primary,
        report: await sendMemberCommand(
          context,
          member,
          { type: 'status' },
          MEMBER_REQUEST_TIMEOUT_MILLISECONDS,
        ),
      })),
    );
  }

  function hasReplicationAdvanced(before: MemberStatuses, after: MemberStatuses): boolean {
    return after.some(({ member, isSuspect, report }) => {
      const earlier = before.find((status) => status.member === member)?.report;
      if (isSuspect || !report || !earlier) return false;
      return comparePositions(report.received, earlier.received) > 0;
    });
  }

  /** Describes what shows that an unreachable primary still leads its replicas. */
  function findLifeSign({
    before,
    after,
    probedLogEnds,
  }: {
    before: MemberStatuses;
    after: MemberStatuses;
    probedLogEnds: Position[];
  }): string | undefined {
    if (hasReplicationAdvanced(before, after)) return 'replicas still receive its log';
    const reports = after.flatMap(({ isSuspect, report }) => (isSuspect ? [] : (report ?? [])));
    const isFollowed = probedLogEnds.some((logEnd) => isLogEndReceived(logEnd, reports));
    return isFollowed ? 'another instance reaches it, and a replica has its log' : undefined;
  }

  /** Whether a listed member other than the primary is available for promotion. */
  function hasCandidate(primary: Member | undefined): boolean {
    return [...members.values()].some(
      (member) => member !== primary && !member.entry.isLeaving && !isMissing(member),
    );
  }

  async function promote(cause: SuspicionCause, primary: Member | undefined): Promise<void> {
    if (!hasCandidate(primary)) {
      logger.info('promotionWithoutCandidate', { group, cause });
      return;
    }
    if (mayMembersReturn()) {
      logger.info('promotionDeferred', { group, cause, reason: 'entries may have lapsed' });
      return;
    }
    // Checked before the claim as well: while members are awaited, no replica need be paused.
    if (!(await coverageCheck.canCover(primary))) return;
    const canClaim = (record: PromotionRecord) => canReplaceSoleMember(cause, record);
    const claim = await claims.claim({ primary, canClaim });
    if (!claim) return;
    const candidate = await prepareCandidate(claim, primary);
    if (!candidate || !isClaimValid(claim.claimedAt, clock.readClocks())) {
      logger.warn('promotionGivenUp', { group, cause, token: claim.record.token });
      await abandonPromotion(claim, primary);
      return;
    }
    await orderPromotion({ cause, primary, claim, candidate });
  }

  /**
   * Whether the directory may still lack running members, whose entries can lapse while the store is
   * down. One of them may alone hold a write that was acknowledged.
   */
  function mayMembersReturn(): boolean {
    const outageEnd = options.getDirectoryOutageEnd();
    if (clock.now() - outageEnd >= options.missingMemberRetentionMilliseconds) return false;
    const all = [...members.values()];
    const isKnownFromBefore = all.some(({ listedSince }) => listedSince < outageEnd);
    return !isKnownFromBefore || all.some(isMissing);
  }

  /** Whether the group's sole member, if the record names one, can be replaced now. */
  async function canReplaceSoleMember(
    cause: SuspicionCause,
    record: PromotionRecord,
  ): Promise<boolean> {
    if (await soleMemberFence.canPromote(record)) return true;
    const { soleMemberId } = record;
    const reason = 'instances may rely on the sole member';
    logger.info('promotionDeferred', { group, cause, reason, soleMemberId });
    return false;
  }

  /** Makes sure that no further write of the primary can be acknowledged and chooses its successor. */
  async function prepareCandidate(
    claim: Claim,
    primary: Member | undefined,
  ): Promise<PromotionCandidate | undefined> {
    if (!(await tryRefreshDirectory())) return undefined;
    const fence = await soleMemberFence.fence(claim.record, claim.term);
    if (fence.type === 'failed') return undefined;
    const pausedReplicas = await pauseReplicas(claim, primary);
    if (!pausedReplicas) return undefined;
    const { started } = claim.record;
    return fence.type === 'fenced'
      ? chooseFencedCandidate(pausedReplicas, { fence, started })
      : choosePromotionCandidate(pausedReplicas, started);
  }

  /**
   * Learns of members that joined before the claim, which may confirm writes for other instances.
   *
   * @returns false if the store does not answer.
   */
  async function tryRefreshDirectory(): Promise<boolean> {
    try {
      await refreshDirectory();
      return true;
    } catch (error) {
      logger.warn('directoryNotRefreshed', { group, error: error as Error });
      return false;
    }
  }

  /**
   * Pauses every replica and reads its log end, so that none can confirm further writes of the old
   * primary. Returns undefined if a listed replica does not answer, or a departed one that is awaited: it
   * may hold acknowledged writes that no other replica has.
   */
  async function pauseReplicas(
    { term }: Claim,
    primary: Member | undefined,
  ): Promise<PausedReplica[] | undefined> {
    const command = { type: 'pause' as const, term };
    const replicas = [...members.values()].filter((member) => member !== primary);
    const pendingRegister = registrar.refresh();
    // Paused first: a departed replica that is ahead of the others can't be promoted.
    const former = await coverageCheck.pauseFormerMembers(term, primary);
    const [isRegisterKnown, ...reports] = await Promise.all([
      pendingRegister,
      ...replicas.map((member) =>
        sendMemberCommand(context, member, command, MEMBER_REQUEST_TIMEOUT_MILLISECONDS),
      ),
    ]);
    // A replica that is primary by now was promoted by another instance. Promoting a second member
    // would discard the writes that it acknowledges.
    const isReplaced = reports.some((report) => report?.isPrimary);
    const unanswered = replicas.filter((member, index) => !reports[index] && !isMissing(member));
    if (isReplaced || unanswered.length > 0 || replicas.length === 0) {
      const memberIds = unanswered.map(({ entry }) => entry.memberId);
      logger.warn('replicasNotStopped', { group, isReplaced, memberIds });
      return undefined;
    }
    const paused = replicas.filter((_, index) => reports[index] !== undefined);
    const isCovered =
      isRegisterKnown && coverageCheck.allowsPromotion(primary, { replicas: paused, former });
    if (!isCovered) return undefined;
    return [
      ...replicas.flatMap((member, index) => toPausedReplicas(member, reports[index])),
      ...former.flatMap(toPausedFormerReplicas),
    ];
  }

  function toPausedReplicas(member: Member, report: MemberReport | undefined): PausedReplica[] {
    if (!report) return [];
    const { received, term } = report;
    const { memberId, isLeaving, dataCentre: memberDataCentre } = member.entry;
    const isRegistered = registrar.isRegistered(memberId);
    const isPreferred = memberDataCentre === dataCentre;
    return [{ memberId, term, received, isLeaving, isRegistered, isPreferred }];
  }

  async function orderPromotion(plan: {
    cause: SuspicionCause;
    primary: Member | undefined;
    claim: Claim;
    candidate: PromotionCandidate;
  }): Promise<void> {
    const { cause, primary, claim, candidate } = plan;
    const { memberId, received: origin } = candidate;
    const { term } = claim;
    const { token } = claim.record;
    const outcome = await orders.promote({
      group,
      memberId,
      holder: instance,
      token,
      timeoutMilliseconds: PROMOTION_ORDER_TIMEOUT_MILLISECONDS,
    });
    logger.info('promotionOrdered', { group, cause, memberId, origin, token, outcome });
    counters.promotions += 1;
    if (outcome !== 'accepted') {
      await claims.release(claim);
      return;
    }
    await claims.release(claim, { term, primaryId: memberId, origin });
    await awaitPromotion(memberId, { term, primary });
  }

  /**
   * Resumes the replicas and releases the claim. Resumes only while the claim is valid: otherwise a
   * replica paused by another promoter could confirm a commit unknown to that promoter.
   */
  async function abandonPromotion(claim: Claim, primary: Member | undefined): Promise<void> {
    const replicas = [...members.values()].filter((member) => member !== primary);
    if (isClaimValid(claim.claimedAt, clock.readClocks())) {
      await Promise.all([
        coverageCheck.resumeFormerMembers(),
        ...replicas.map((member) =>
          sendMemberCommand(
            context,
            member,
            { type: 'resume' },
            MEMBER_REQUEST_TIMEOUT_MILLISECONDS,
          ),
        ),
      ]);
    }
    await claims.release(claim);
  }

  /** Waits until the promoted member is primary, then sends the old primary a demotion. */
  async function awaitPromotion(
    memberId: string,
    { term, primary }: { term: number; primary: Member | undefined },
  ): Promise<void> {
    const startedAt = clock.now();
    while (clock.now() - startedAt < PROMOTION_TIMEOUT_MILLISECONDS) {
      const promotedMember = members.get(memberId);
      if (!promotedMember || primaryTracker.find() === promotedMember) break;
      await primaryTracker.waitForChange(PROMOTION_WAIT_MILLISECONDS);
      if (primaryTracker.find() !== promotedMember) {
        await sendMemberCommand(
          context,
          promotedMember,
          { type: 'status' },
          MEMBER_REQUEST_TIMEOUT_MILLISECONDS,
        );
      }
    }
    logger.info('promotionFollowed', { group, memberId, milliseconds: clock.now() - startedAt });
    if (primary && members.has(primary.entry.memberId)) {
      await sendMemberCommand(
        context,
        primary,
        { type: 'demote', term },
        MEMBER_REQUEST_TIMEOUT_MILLISECONDS,
      );
    }
  }

  return {
    reportSuspicion,
    checkDirectory,
    readTermStart: claims.readTermStart,
    close: () => {
      isClosed = true;
    },
  };
}

/** Status reports of the listed members; undefined for a member that did not answer. */
type MemberStatuses = { member: Member; isSuspect: boolean; report: MemberReport | undefined }[];

/** The member to promote and its log end. */
type PromotionCandidate = Pick<PausedReplica, 'memberId' | 'received'>;
