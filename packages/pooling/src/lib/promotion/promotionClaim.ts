import { z } from 'zod';
import type { ClockReadings } from '../timing/clockReadings';

/** Stored for each group: which instance may promote a member, and the last promotion. @public */
export const promotionRecordSchema = z.object({
  /** Instance that made the last claim. */
  holder: z.string(),
  /** Fencing token, incremented by each claim. */
  token: z.number().int().nonnegative().lt(Number.MAX_SAFE_INTEGER),
  /** Whether the holder may still send commands with the token. */
  isClaimed: z.boolean(),
  /**
   * Member that instances may rely on alone, because the directory listed no other; a promotion
   * must fence it first or wait until they know its other members.
   */
  soleMemberId: z.string().optional(),
  /**
   * Term started by the last promotion, its primary, and the log end that it started from; absent
   * until known.
   */
  started: z
    .object({
      term: z.number().int(),
      primaryId: z.string(),
      origin: z.object({ term: z.number().int(), index: z.number().int() }),
    })
    .optional(),
});

/** @public */
export type PromotionRecord = z.infer<typeof promotionRecordSchema>;

/**
 * Completes a stored record of which another writer left out or damaged fields.
 *
 * The token is at least the revision of the record: each claim is a change of the store, so no instance
 * has made a claim with a higher one. The record counts as claimed, since its last holder may still send
 * commands.
 *
 * @param revision - store revision of the record.
 * @public
 */
export function repairPromotionRecord(stored: unknown, revision: number): PromotionRecord {
  const { holder, token, isClaimed, soleMemberId, started } = promotionRecordSchema.shape;
  const repairingSchema = z.object({
    holder: holder.catch(''),
    token: token.catch(0).transform((claimed) => Math.max(claimed, revision)),
    isClaimed: isClaimed.catch(true),
    soleMemberId: soleMemberId.catch(undefined),
    started: started.catch(undefined),
  });
  return repairingSchema.catch(repairingSchema.parse({})).parse(stored);
}

/**
 * Validity of a claim, counted from just before the request for it was sent. Covers pausing two
 * replicas and promoting one: four round trips of 100 ms, with retransmissions.
 *
 * @public
 */
export const CLAIM_VALID_MILLISECONDS = 1_500;

/**
 * Time after which another instance may take over an unchanged claim: its validity, the timeout of
 * a command in flight (400 ms) and a margin for clock drift.
 *
 * @public
 */
export const CLAIM_TAKEOVER_MILLISECONDS = 2_200;

/** Difference between the two clocks above which the machine counts as suspended. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 100;

/**
 * Whether a claim still allows its holder to send commands.
 *
 * The monotonic clock stops while the machine is suspended and the wall clock does not. If the two
 * disagree, another instance may have taken over, so the claim counts as expired. A command would
 * carry a lower token than one already used.
 *
 * @public
 */
export function isClaimValid(claimed: ClockReadings, now: ClockReadings): boolean {
  const elapsed = now.monotonic - claimed.monotonic;
  const clockDivergence = Math.abs(now.wall - claimed.wall - elapsed);
  return elapsed < CLAIM_VALID_MILLISECONDS && clockDivergence < SUSPENSION_THRESHOLD_MILLISECONDS;
}
