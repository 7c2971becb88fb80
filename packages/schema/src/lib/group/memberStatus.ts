import { z } from 'zod';
import { positionSchema } from '../position/position';

/** Where a term began: `start` is the index of the last entry before the first one of the term. @public */
export const termStartSchema = z.strictObject({
  term: z.number().int().nonnegative(),
  start: z.number().int().nonnegative(),
});

/** @public */
export type TermStart = z.infer<typeof termStartSchema>;

/** @public */
export const memberRoleSchema = z.enum(['primary', 'replica']);

/** @public */
export type MemberRole = z.infer<typeof memberRoleSchema>;

/**
 * What a database of a group answers when it is asked for its status.
 *
 * A member that has recorded `currentTerm` refuses log and writes of every lower term from then on.
 * `logEnd` is the last entry that the member holds, `applied` the last one that its reads show.
 *
 * @public
 */
export const memberStatusSchema = z.strictObject({
  member: z.string(),
  role: memberRoleSchema,
  currentTerm: z.number().int().nonnegative(),
  logEnd: positionSchema,
  applied: positionSchema,
  /** In rising order of terms; entry `index` belongs to the last term whose start is below it. */
  termStarts: z.array(termStartSchema),
  /** Name of the member whose log this one follows; absent on a primary or an unattached member. */
  following: z.string().optional(),
});

/** @public */
export type MemberStatus = z.infer<typeof memberStatusSchema>;
