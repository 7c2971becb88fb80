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

/** Why the outcome of a request is not known. @public */
export const unknownReasonSchema = z.enum([
  'connectionLost',
  'deadline',
  'primaryReplaced',
  'stopping',
]);

/** @public */
export type UnknownReason = z.infer<typeof unknownReasonSchema>;

/**
 * What a caller is told about a request.
 *
 * - `done`: the database's own answer, whole; also its own errors such as a duplicate key.
 * - `notRun`: no database ran it. The caller may repeat it after `retryAfterMilliseconds`.
 * - `unknown`: it may or may not have run. It never means "not run".
 * - `discarded`: it ran on a primary that was replaced and is certain not to have survived, or a
 *   read whose answer broke off; nothing of it remains.
 *
 * @public
 */
export const outcomeSchema = z.discriminatedUnion('status', [
  z.strictObject({ status: z.literal('done'), position: positionSchema.optional() }),
  z.strictObject({
    status: z.literal('notRun'),
    reason: notRunReasonSchema,
    retryAfterMilliseconds: z.number().int().nonnegative(),
  }),
  z.strictObject({
    status: z.literal('unknown'),
    reason: unknownReasonSchema,
    retryAfterMilliseconds: z.number().int().nonnegative(),
  }),
  z.strictObject({
    status: z.literal('discarded'),
    retryAfterMilliseconds: z.number().int().nonnegative(),
  }),
]);

/** @public */
export type Outcome = z.infer<typeof outcomeSchema>;
