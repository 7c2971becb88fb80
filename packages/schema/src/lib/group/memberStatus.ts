import { z } from 'zod';
import { positionSchema } from '../position/position';

/**
 * Start of a term: `start` is the index of the last entry before the first entry of the term.
 *
 * @public
 */
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
 * The incarnation of each member that votes, by its name, and the log entry that names them.
 *
 * @public
 */
export const votersSchema = z.strictObject({
  position: positionSchema,
  incarnations: z.record(z.string(), z.string()),
});

/** @public */
export type Voters = z.infer<typeof votersSchema>;

/**
 * Answer of a database to a status request, as parsed from its JSON.
 *
 * A member at `currentTerm` refuses log entries and writes of lower terms. `logEnd` is the last
 * entry in its log, `applied` the last one that its reads show.
 *
 * @public
 */
export const memberStatusSchema = z.strictObject({
  member: z.string(),
  role: memberRoleSchema,
  currentTerm: z.number().int().nonnegative(),
  logEnd: positionSchema,
  applied: positionSchema,
  /**
   * In ascending order of terms. An entry belongs to the last listed term whose `start` is lower than
   * the index of the entry.
   */
  termStarts: z.array(termStartSchema),
  /** Member that this one replicates from; absent on a primary or an unattached member. */
  following: z.string().optional(),
  /** The newest in its log, none at the first position; absent at a database that keeps none. */
  voters: votersSchema.optional(),
});

/** @public */
export type ReportedMemberStatus = z.infer<typeof memberStatusSchema>;

/** A status, and which incarnation of the database it is from. @public */
export interface MemberStatus extends ReportedMemberStatus {
  /**
   * The `server_uuid` of the database, which is kept beside its data: a database that comes back without
   * them has another one.
   */
  incarnation: string;
}
