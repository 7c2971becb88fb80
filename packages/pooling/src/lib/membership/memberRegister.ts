import { z } from 'zod';

/** One life of a member's process. @public */
export const registeredMemberSchema = z.object({
  memberId: z.string(),
  /** Start time of the process by its own time of day, if it reports one. */
  startedAt: z.number().optional(),
  /** Revision at which its directory entry was created; one that lapsed returns with another. */
  createdRevision: z.number().optional(),
});

/** @public */
export type RegisteredMember = z.infer<typeof registeredMemberSchema>;

/**
 * Stored for each group: the members that acknowledged commits may rest on.
 *
 * A commit is acknowledged once two registered members hold it, the primary and a replica, or all members
 * that the acknowledging instance knows. A member is added before its word counts, and removed once no
 * instance counts it any more and others hold all that it confirmed. So all registered members but one,
 * taken together, hold every acknowledged commit. An instance without a recent directory may know none of
 * the registered members; what it acknowledges then is not covered.
 *
 * @public
 */
export const memberRegisterSchema = z.object({ members: z.array(registeredMemberSchema) });

/** @public */
export type MemberRegister = z.infer<typeof memberRegisterSchema>;

/** Whether both describe the same process; an unknown start time matches any. @public */
export function isSameLife(left: RegisteredMember, right: RegisteredMember): boolean {
  if (left.memberId !== right.memberId) return false;
  const isStartUnknown = left.startedAt === undefined || right.startedAt === undefined;
  return isStartUnknown || left.startedAt === right.startedAt;
}

/**
 * Whether both describe the same directory entry of a process. A member that is listed again counts as one
 * that joined: an instance may not know yet, and take it off the register for its former entry.
 *
 * @public
 */
export function isSameListing(left: RegisteredMember, right: RegisteredMember): boolean {
  return isSameLife(left, right) && left.createdRevision === right.createdRevision;
}

const getCreation = ({ createdRevision }: RegisteredMember) => createdRevision ?? -Infinity;

/** Whether both are the same process and `other` was listed no earlier. @public */
export function isListedNoLater(member: RegisteredMember, other: RegisteredMember): boolean {
  return isSameLife(member, other) && getCreation(member) <= getCreation(other);
}

/** Returns the member with its latest entry of those in `listings`. @public */
export function renewListing<Member extends RegisteredMember>(
  member: Member,
  listings: readonly RegisteredMember[],
): Member {
  const revisions = listings.filter((other) => isSameLife(member, other)).map(getCreation);
  const latest = Math.max(getCreation(member), ...revisions);
  return { ...member, createdRevision: Number.isFinite(latest) ? latest : undefined };
}

/** Returns those of `members` that `others` does not contain. @public */
export function subtractMembers(
  members: readonly RegisteredMember[],
  others: readonly RegisteredMember[],
  isSame = isSameLife,
): RegisteredMember[] {
  return members.filter((member) => !others.some((other) => isSame(member, other)));
}

/**
 * Whether the logs of `answered`, taken together, hold every acknowledged commit.
 *
 * @param required - members of which two hold each acknowledged commit.
 * @public
 */
export function isEveryCommitHeld(
  required: readonly RegisteredMember[],
  answered: readonly RegisteredMember[],
): boolean {
  const missing = subtractMembers(required, answered);
  return missing.length <= 1 && missing.length < required.length;
}
