import { z } from 'zod';
import { positionSchema } from '../position/position';

/** Why a request was not run. @public */
export const notRunReasonSchema = z.enum([
  'overloaded',
  'deadline',
  'noPrimary',
  'noFreshMember',
  'unknownGroup',
  'refusedByDatabase',
  'stopping',
]);

/** @public */
export type NotRunReason = z.infer<typeof notRunReasonSchema>;

/** Why the outcome of a request is unknown. @public */
export const unknownOutcomeReasonSchema = z.enum([
  'connectionLost',
  'deadline',
  'primaryReplaced',
  'stopping',
]);

/** @public */
export type UnknownOutcomeReason = z.infer<typeof unknownOutcomeReasonSchema>;

/**
 * Outcome of a request, as reported to the caller.
 *
 * - `done`: the database answered completely, possibly with an error such as a duplicate key.
 * - `notRun`: no database ran it. The caller may retry after `retryAfterMilliseconds`.
 * - `unknown`: it may or may not have run.
 * - `discarded`: it has no lasting effect: a write lost with a replaced primary, or a read whose
 *   answer was incomplete.
 *
 * @public
 */
export const requestOutcomeSchema = z.discriminatedUnion('status', [
  z.strictObject({ status: z.literal('done'), position: positionSchema.optional() }),
  z.strictObject({
    status: z.literal('notRun'),
    reason: notRunReasonSchema,
    retryAfterMilliseconds: z.number().int().nonnegative(),
  }),
  z.strictObject({
    status: z.literal('unknown'),
    reason: unknownOutcomeReasonSchema,
    retryAfterMilliseconds: z.number().int().nonnegative(),
  }),
  z.strictObject({
    status: z.literal('discarded'),
    retryAfterMilliseconds: z.number().int().nonnegative(),
  }),
]);

/** @public */
export type RequestOutcome = z.infer<typeof requestOutcomeSchema>;
