import { z } from 'zod';
import type { ClockReadings } from '../timing/clockReadings';

/** Stored for each group: who may order a promotion, and what the last one did. @public */
export const promotionRecordSchema = z.object({
  /** Instance that claimed the duty last. */
  holder: z.string(),
  /** Rises with each claim. */
  token: z.number().int().nonnegative(),
  /** Whether the holder may still send orders under the token. */
  isClaimed: z.boolean(),
  /** Where the term began that the last promotion started, once it is known. */
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
 * How long a claim allows its holder to send orders, counted from before the claim was sent.
 * Stopping two replicas and the order itself take four round trips of up to 100 ms with losses.
 */
export const CLAIM_VALID_MILLISECONDS = 1_500;

/**
 * How long another instance must have seen a claim unchanged before it takes over: the time of the
 * claim, the time limit of an order already sent (400 ms), and a margin for clocks of different pace.
 */
export const CLAIM_TAKEOVER_MILLISECONDS = 2_200;

/** Difference of the two clocks from which the process is taken to have been suspended. */
const SUSPENSION_MILLISECONDS = 100;

/**
 * Whether a claim still allows an order.
 *
 * A holder that was suspended finds its steady clock where it was, while another instance has taken
 * over; its order would carry a token lower than one already used. The time of day goes on during a
 * suspension, so the two clocks then disagree, and the claim counts as lost.
 *
 * @public
 */
export function isClaimValid(claimed: ClockReadings, present: ClockReadings): boolean {
  const elapsed = present.steady - claimed.steady;
  const drift = Math.abs(present.wall - claimed.wall - elapsed);
  return elapsed < CLAIM_VALID_MILLISECONDS && drift < SUSPENSION_MILLISECONDS;
}
