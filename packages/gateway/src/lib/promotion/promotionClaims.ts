import type { ClockReadings, PromotionRecord, TermStart } from '@wisterialift/pooling';
import type { GroupContext } from '../groups/groupContext';
import type { Member } from '../groups/member';
import type { PromotionStore, StoredPromotionRecord } from '../ports/platformPort';
import { createRecordObserver } from './recordObserver';

/** The right to order one promotion. */
export interface Claim {
  record: PromotionRecord;
  revision: number;
  claimedAt: ClockReadings;
  /** Term that the promotion starts. */
  term: number;
}

/** Claims and releases promotions of a group in its promotion record. */
export interface PromotionClaims {
  /**
   * Claims the promotion with a conditional update, so that only one instance succeeds. A claim of
   * another instance stays in force until it must have expired.
   *
   * @param options.canClaim - asked with the record before it is replaced.
   * @throws Error if the store does not answer.
   */
  claim: (options: {
    primary: Member | undefined;
    canClaim: (record: PromotionRecord) => Promise<boolean>;
  }) => Promise<Claim | undefined>;
  /** @param started - the promotion that was ordered, if one was. */
  release: (claim: Claim, started?: TermStart) => Promise<void>;
  /** Reads the start of the newest recorded term; undefined if there is none or on a store error. */
  readTermStart: () => Promise<TermStart | undefined>;
}

/** Time after which a promotion that has not taken effect may be repeated. */
export const PROMOTION_TIMEOUT_MILLISECONDS = 3_000;

export function createPromotionClaims(
  context: GroupContext,
  { instance, store }: { instance: string; store: PromotionStore },
): PromotionClaims {
  const { clock, evidence, group, logger } = context;
  const observer = createRecordObserver(clock);

  /**
   * Whether a recent promotion already replaces the suspected primary. Without this check, every
   * instance that suspects the primary would order its own promotion.
   */
  function isPending(stored: StoredPromotionRecord, primary: Member | undefined): boolean {
    const { started } = stored.record;
    if (!started || started.primaryId === primary?.entry.memberId) return false;
    return observer.getAge(stored) < PROMOTION_TIMEOUT_MILLISECONDS;
  }

  return {
    claim: async ({ primary, canClaim }) => {
      const stored = await store.read(group);
      if (stored && (observer.isHeld(stored) || isPending(stored, primary))) return undefined;
      if (stored && !(await canClaim(stored.record))) return undefined;
      const token = (stored?.record.token ?? 0) + 1;
      const record = { ...stored?.record, holder: instance, token, isClaimed: true };
      const term = evidence.getHighestTerm() + 1;
      const claimedAt = clock.readClocks();
      const outcome = await store.replace({ group, record, revision: stored?.revision });
      logger.info('dutyClaimed', { group, token, outcome: outcome.type });
      if (outcome.type !== 'replaced') return undefined;
      return { record, revision: outcome.revision, claimedAt, term };
    },
    release: async (claim, started) => {
      const changes = started && { started, soleMemberId: undefined };
      const record = { ...claim.record, isClaimed: false, ...changes };
      const outcome = await store.replace({ group, record, revision: claim.revision });
      if (outcome.type !== 'replaced') {
        logger.warn('dutyNotReleased', { group, outcome: outcome.type });
      }
    },
    readTermStart: async () => {
      try {
        return (await store.read(group))?.record.started;
      } catch (error) {
        logger.warn('termStartNotRead', { group, error: error as Error });
        return undefined;
      }
    },
  };
}
