import { CLAIM_TAKEOVER_MILLISECONDS, chooseCandidate, isClaimValid } from '@wisterialift/pooling';
import type {
  ClockReadings,
  MemberReport,
  PromotionRecord,
  StoppedReplica,
  TermOrigin,
} from '@wisterialift/pooling';
import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext, SuspicionCause } from '../groups/groupContext';
import type { Member } from '../groups/member';
import { askMember } from '../groups/memberQuestions';
import type { PromotionOrders, PromotionStore, StoredRecord } from '../ports/platformPort';

/** Replaces a primary that is dark, cut off or leaving. */
export interface PromotionTask {
  /** Something speaks against the primary; looks into it unless it does already. */
  suspect: (cause: SuspicionCause, member: Member | undefined) => void;
  /** Looks whether the directory lists a primary that stays. */
  reviewDirectory: () => void;
  /** Where the newest term began, as its promoter recorded it. */
  readTermOrigin: () => Promise<TermOrigin | undefined>;
  close: () => void;
}

export interface PromotionTaskOptions {
  instance: string;
  dataCentre: string;
  store: PromotionStore;
  orders: PromotionOrders;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Time limit of a question or order to a member: three round trips between far data centres. */
const QUESTION_MILLISECONDS = 400;

/** Time limit of one order; a claim may be taken over only after this time and its own. */
const ORDER_MILLISECONDS = 400;

/** Between two looks at the replicas: a log that moves in it has a primary that lives. */
const STANDSTILL_MILLISECONDS = 250;

/** Silence of the primary towards all statements of this instance that is worth a look. */
const SILENCE_MILLISECONDS = 600;

/** Causes that a primary which answers does not refute. */
const CAUSES_BESIDE_LIFE: ReadonlySet<SuspicionCause> = new Set(['unconfirmed', 'leaving']);

/** Pause after a look that cleared the primary or a promotion that did not come about. */
const PAUSE_MILLISECONDS = 400;

/** Instances look at slightly different times, so that one claims before the others try. */
const SPREAD_MILLISECONDS = 120;

/** Time for a promoted member to lead before it is asked: the longest that members need, and a way. */
const TAKE_OVER_MILLISECONDS = 1_300;

/** A change of primary that is not seen after this time is looked at anew. */
const FOLLOW_MILLISECONDS = 3_000;

export function createPromotionTask(
  context: GroupContext,
  options: PromotionTaskOptions,
): PromotionTask {
  const { belief, clock, counters, evidence, group, logger, members } = context;
  const { instance, dataCentre, orders, store } = options;
  let isBusy = false;
  let isClosed = false;
  let seenRevision: { revision: number; since: number } | undefined;

  const isSilent = (member: Member) => clock.now() - member.answeredAt > SILENCE_MILLISECONDS;

  const isGone = (member: Member) => member.missingSince !== undefined;

  function suspect(cause: SuspicionCause, member: Member | undefined): void {
    if (isBusy || isClosed || members.size === 0) return;
    if (cause === 'silent' && member && !isSilent(member)) return;
    if (member && member !== belief.find()) return;
    isBusy = true;
    void handleSuspicion(cause, member).finally(() => {
      clock.after(PAUSE_MILLISECONDS, () => {
        isBusy = false;
      });
    });
  }

  function reviewDirectory(): void {
    const primary = belief.find();
    if (!primary) {
      if (members.size > 0) suspect('absent', undefined);
      return;
    }
    if (primary.entry.isLeaving && hasCandidate(primary)) suspect('leaving', primary);
  }

  async function handleSuspicion(cause: SuspicionCause, member: Member | undefined): Promise<void> {
    try {
      await clock.pause(options.random() * SPREAD_MILLISECONDS);
      logger.warn('primarySuspected', { group, cause, memberId: member?.entry.memberId });
      if (await isCleared(cause, member)) return;
      await promote(cause, member);
    } catch (error) {
      logger.error('promotionFailed', { group, cause, error: error as Error });
    }
  }

  /** Looks again with fresh questions; one sign of life of a primary that stays clears it. */
  async function isCleared(cause: SuspicionCause, member: Member | undefined): Promise<boolean> {
    const before = await askAll(member);
    const leaders = before.filter(({ report }) => report?.isPrimary);
    const successor = leaders.find(({ isSuspect }) => !isSuspect);
    const [cleared] = successor || CAUSES_BESIDE_LIFE.has(cause) ? [successor] : leaders;
    if (cleared) {
      logger.info('primaryCleared', { group, cause, memberId: cleared.member.entry.memberId });
      return true;
    }
    if (cause === 'leaving') return !canStopAll(before);
    await clock.pause(STANDSTILL_MILLISECONDS);
    const after = await askAll(member);
    if (hasMoved(before, after)) {
      logger.info('primaryCleared', { group, cause, detail: 'the replicas receive its log' });
      return true;
    }
    const isReplacedSince = after.some((look) => look.report?.isPrimary && !look.isSuspect);
    return isReplacedSince || !canStopAll(after);
  }

  /**
   * Whether all replicas answered, so that a promotion would not end half way.
   *
   * A replica that was stopped for a promotion which another one's silence then ended receives
   * nothing any more, and a primary that lives finds nobody to copy its commits.
   */
  function canStopAll(look: Look): boolean {
    const silent = look.filter(({ isSuspect, report }) => !isSuspect && !report);
    if (silent.length === 0) return true;
    const memberIds = silent.map(({ member }) => member.entry.memberId);
    logger.warn('replicasSilent', { group, memberIds });
    return false;
  }

  function askAll(primary: Member | undefined): Promise<Look> {
    const asked = [...members.values()].filter((member) => member.missingSince === undefined);
    return Promise.all(
      asked.map(async (member) => ({
        member,
        isSuspect: member === primary,
        report: await askMember(context, member, { type: 'status' }, QUESTION_MILLISECONDS),
      })),
    );
  }

  function hasMoved(before: Look, after: Look): boolean {
    return after.some(({ member, isSuspect, report }) => {
      const earlier = before.find((look) => look.member === member)?.report;
      if (isSuspect || !report || !earlier) return false;
      return comparePositions(report.received, earlier.received) > 0;
    });
  }

  /** Whether a member stays that could take the primary's place. */
  function hasCandidate(primary: Member | undefined): boolean {
    return [...members.values()].some(
      (member) => member !== primary && !member.entry.isLeaving && !isGone(member),
    );
  }

  async function promote(cause: SuspicionCause, primary: Member | undefined): Promise<void> {
    if (!hasCandidate(primary)) {
      logger.info('promotionWithoutCandidate', { group, cause });
      return;
    }
    const claim = await claimDuty(primary);
    if (!claim) return;
    const stopped = await stopReplicas(primary);
    if (!stopped) {
      await giveUp(claim, primary);
      return;
    }
    await orderCandidate({ cause, primary, claim, stopped });
  }

  /**
   * Claims the duty under the record's revision, so that of several instances one gets it.
   *
   * A claim that another instance holds is left alone until it must have lapsed.
   */
  async function claimDuty(primary: Member | undefined): Promise<Claim | undefined> {
    const stored = await store.read(group);
    if (stored && (isHeldByOther(stored) || isReplacedAlready(stored, primary))) return undefined;
    const token = (stored?.record.token ?? 0) + 1;
    const record: PromotionRecord = { ...stored?.record, holder: instance, token, isClaimed: true };
    const claimedAt = clock.readings();
    const outcome = await store.replace({ group, record, revision: stored?.revision });
    logger.info('dutyClaimed', { group, token, outcome: outcome.type });
    if (outcome.type !== 'replaced') return undefined;
    return { record, revision: outcome.revision, claimedAt };
  }

  function isHeldByOther({ record, revision }: StoredRecord): boolean {
    if (!record.isClaimed) return false;
    return seenFor(revision) < CLAIM_TAKEOVER_MILLISECONDS;
  }

  /**
   * Whether a promotion that was ordered lately replaces the suspect, and only has to take effect.
   *
   * Without this, each instance that had suspected the primary would order one after the other.
   */
  function isReplacedAlready(stored: StoredRecord, primary: Member | undefined): boolean {
    const { started } = stored.record;
    if (!started || started.primaryId === primary?.entry.memberId) return false;
    return seenFor(stored.revision) < FOLLOW_MILLISECONDS;
  }

  /** How long this instance has seen the record at that revision. */
  function seenFor(revision: number): number {
    if (seenRevision?.revision !== revision) seenRevision = { revision, since: clock.now() };
    return clock.now() - seenRevision.since;
  }

  /**
   * Stops every replica and reads its log end.
   *
   * From then on no replica can confirm a write of the old primary behind the promoter's back. If
   * one does not answer, writes that only it holds may be acknowledged, so nothing is promoted until
   * it answers or is gone from the directory.
   */
  async function stopReplicas(primary: Member | undefined): Promise<StoppedReplica[] | undefined> {
    const replicas = [...members.values()].filter((member) => member !== primary);
    const command = { type: 'pause' as const, term: evidence.highestTerm() + 1 };
    const reports = await Promise.all(
      replicas.map((member) => askMember(context, member, command, QUESTION_MILLISECONDS)),
    );
    // A primary takes no order to stop. Whoever promoted it did so after this instance had looked, and
    // promoting another now would discard what it acknowledges meanwhile.
    const isReplaced = reports.some((report) => report?.isPrimary);
    const unanswered = replicas.filter((member, index) => !reports[index] && !isGone(member));
    if (isReplaced || unanswered.length > 0 || replicas.length === 0) {
      const memberIds = unanswered.map(({ entry }) => entry.memberId);
      logger.warn('replicasNotStopped', { group, isReplaced, memberIds });
      return undefined;
    }
    return replicas.flatMap((member, index) => toStopped(member, reports[index]?.received));
  }

  function toStopped(member: Member, received: Position | undefined): StoppedReplica[] {
    if (!received) return [];
    const { memberId, isLeaving, dataCentre: place } = member.entry;
    return [{ memberId, received, isLeaving, isPreferred: place === dataCentre }];
  }

  async function orderCandidate(plan: {
    cause: SuspicionCause;
    primary: Member | undefined;
    claim: Claim;
    stopped: StoppedReplica[];
  }): Promise<void> {
    const { cause, primary, claim, stopped } = plan;
    const candidate = chooseCandidate(stopped);
    if (!candidate || !isClaimValid(claim.claimedAt, clock.readings())) {
      logger.warn('promotionGivenUp', { group, cause, token: claim.record.token });
      await giveUp(claim, primary);
      return;
    }
    const { memberId, received: origin } = candidate;
    const { token } = claim.record;
    const outcome = await orders.promote({
      group,
      memberId,
      holder: instance,
      token,
      timeoutMilliseconds: ORDER_MILLISECONDS,
    });
    logger.info('promotionOrdered', { group, cause, memberId, origin, token, outcome });
    counters.promotions += 1;
    if (outcome !== 'accepted') {
      await release(claim);
      return;
    }
    const term = evidence.highestTerm() + 1;
    await release(claim, { term, primaryId: memberId, origin });
    await followPromotion(memberId, { term, primary });
  }

  /**
   * Lets the replicas receive again after a promotion that was not ordered, and gives the duty back.
   *
   * Only under the claim: a replica that is resumed after another promoter has stopped it could
   * confirm a commit that this promoter does not know of.
   */
  async function giveUp(claim: Claim, primary: Member | undefined): Promise<void> {
    const replicas = [...members.values()].filter((member) => member !== primary);
    if (isClaimValid(claim.claimedAt, clock.readings())) {
      await Promise.all(
        replicas.map((member) =>
          askMember(context, member, { type: 'resume' }, QUESTION_MILLISECONDS),
        ),
      );
    }
    await release(claim);
  }

  async function release(claim: Claim, started?: PromotionRecord['started']): Promise<void> {
    const record = { ...claim.record, isClaimed: false, ...(started && { started }) };
    const outcome = await store.replace({ group, record, revision: claim.revision });
    if (outcome.type !== 'replaced') {
      logger.warn('dutyNotReleased', { group, outcome: outcome.type });
    }
  }

  /** Waits until the promoted member leads, then tells the old primary, which may not know. */
  async function followPromotion(
    memberId: string,
    { term, primary }: { term: number; primary: Member | undefined },
  ): Promise<void> {
    const startedAt = clock.now();
    while (clock.now() - startedAt < FOLLOW_MILLISECONDS) {
      const leader = members.get(memberId);
      if (!leader || belief.find() === leader) break;
      await belief.waitForChange(TAKE_OVER_MILLISECONDS);
      if (belief.find() !== leader) {
        await askMember(context, leader, { type: 'status' }, QUESTION_MILLISECONDS);
      }
    }
    logger.info('promotionFollowed', { group, memberId, milliseconds: clock.now() - startedAt });
    if (primary && members.has(primary.entry.memberId)) {
      await askMember(context, primary, { type: 'demote', term }, QUESTION_MILLISECONDS);
    }
  }

  async function readTermOrigin(): Promise<TermOrigin | undefined> {
    try {
      return (await store.read(group))?.record.started;
    } catch (error) {
      logger.warn('termOriginNotRead', { group, error: error as Error });
      return undefined;
    }
  }

  return {
    suspect,
    reviewDirectory,
    readTermOrigin,
    close: () => {
      isClosed = true;
    },
  };
}

/** What each member that the directory lists answered. */
type Look = { member: Member; isSuspect: boolean; report: MemberReport | undefined }[];

interface Claim {
  record: PromotionRecord;
  revision: number;
  claimedAt: ClockReadings;
}
