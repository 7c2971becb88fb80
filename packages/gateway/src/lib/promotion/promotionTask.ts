import { CLAIM_TAKEOVER_MILLISECONDS, chooseCandidate, isClaimValid } from '@wisterialift/pooling';
import type {
  ClockReadings,
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
}

/** Time limit of a question or order to a member: three round trips between far data centres. */
const QUESTION_MILLISECONDS = 400;

/** Time limit of one order; a claim may be taken over only after this time and its own. */
const ORDER_MILLISECONDS = 400;

/** Between two looks at the replicas: a log that moves in it has a primary that lives. */
const STANDSTILL_MILLISECONDS = 250;

/** Silence of the primary towards all statements of this instance that is worth a look. */
const SILENCE_MILLISECONDS = 600;

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
      setTimeout(() => {
        isBusy = false;
      }, PAUSE_MILLISECONDS);
    });
  }

  function reviewDirectory(): void {
    const primary = belief.find();
    if (!primary) {
      if (members.size > 0) suspect('absent', undefined);
      return;
    }
    if (primary.entry.isLeaving) suspect('leaving', primary);
  }

  async function handleSuspicion(cause: SuspicionCause, member: Member | undefined): Promise<void> {
    try {
      await pause(Math.random() * SPREAD_MILLISECONDS);
      logger.warn('primarySuspected', { group, cause, memberId: member?.entry.memberId });
      if (await isCleared(cause, member)) return;
      await promote(cause, member);
    } catch (error) {
      logger.error('promotionFailed', { group, cause, error: error as Error });
    }
  }

  /** Looks again with fresh questions; one sign of life of a primary that stays clears it. */
  async function isCleared(cause: SuspicionCause, member: Member | undefined): Promise<boolean> {
    if (cause === 'leaving') return isBeingReplaced();
    const before = await askAll(member);
    const primary = before.find(({ report }) => report?.isPrimary);
    const isReplaced = primary && primary.member !== member;
    if (isReplaced || (primary && cause !== 'unconfirmed')) {
      logger.info('primaryCleared', { group, cause, memberId: primary.member.entry.memberId });
      return true;
    }
    await pause(STANDSTILL_MILLISECONDS);
    const after = await askAll(member);
    if (hasMoved(before, after)) {
      logger.info('primaryCleared', { group, cause, detail: 'the replicas receive its log' });
      return true;
    }
    return after.some(({ report, member: asked }) => report?.isPrimary && asked !== member);
  }

  async function isBeingReplaced(): Promise<boolean> {
    const stored = await store.read(group);
    return stored !== undefined && isHeldByOther(stored);
  }

  function askAll(primary: Member | undefined) {
    const asked = [...members.values()].filter((member) => member.missingSince === undefined);
    return Promise.all(
      asked.map(async (member) => ({
        member,
        isSuspect: member === primary,
        report: await askMember(context, member, { type: 'status' }, QUESTION_MILLISECONDS),
      })),
    );
  }

  type Look = Awaited<ReturnType<typeof askAll>>;

  function hasMoved(before: Look, after: Look): boolean {
    return after.some(({ member, isSuspect, report }) => {
      const earlier = before.find((look) => look.member === member)?.report;
      if (isSuspect || !report || !earlier) return false;
      return comparePositions(report.received, earlier.received) > 0;
    });
  }

  async function promote(cause: SuspicionCause, primary: Member | undefined): Promise<void> {
    const claim = await claimDuty(primary);
    if (!claim) return;
    const stopped = await stopReplicas(primary);
    if (!stopped) {
      await release(claim);
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
    const suspectTerm = primary ? evidence.lastSeen(primary.entry.memberId)?.term : undefined;
    if (!started || started.term <= (suspectTerm ?? evidence.highestTerm())) return false;
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
    const unanswered = replicas.filter((member, index) => !reports[index] && !isGone(member));
    if (unanswered.length > 0 || replicas.length === 0) {
      const memberIds = unanswered.map(({ entry }) => entry.memberId);
      logger.warn('replicasNotStopped', { group, memberIds });
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
      await release(claim);
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

interface Claim {
  record: PromotionRecord;
  revision: number;
  claimedAt: ClockReadings;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
