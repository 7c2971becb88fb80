import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { PromotionRecord } from './promotionClaim';

/** A term that a promotion started, its primary, and the log end that it started from. @public */
export type TermStart = NonNullable<PromotionRecord['started']>;

/**
 * Outcome of a commit whose primary was replaced.
 *
 * - `kept`: it was made before the next term started, and the log of that term holds it.
 * - `discarded`: no log that holds it can lead the group again.
 *
 * @public
 */
export type CommitOutcome = 'kept' | 'discarded';

/**
 * Determines the outcome that a later term has for a commit, once its start is settled; see
 * `holdsTermStart`.
 *
 * @returns undefined if the start of that term does not tell. The log of a term that did not directly
 *   follow may hold a commit that was made after the term in between had started, at a primary that
 *   had been replaced by then, or lack it because of where that term started.
 * @public
 */
export function determineCommitOutcome(
  position: Position,
  { term, origin }: Pick<TermStart, 'term' | 'origin'>,
): CommitOutcome | undefined {
  if (term <= position.term || origin.term > position.term) return undefined;
  if (comparePositions(position, origin) > 0) return 'discarded';
  return term === position.term + 1 ? 'kept' : undefined;
}

/**
 * Whether a member has taken over the whole log that a term started from: it follows that term or a
 * later one, and no entry of its log is missing there or was added to it before.
 *
 * @param member.term - term that the member follows.
 * @param member.position - end of the log that it has received.
 * @public
 */
export function holdsTermStart(
  member: { term: number; position: Position },
  { term, origin }: Pick<TermStart, 'term' | 'origin'>,
): boolean {
  if (member.term < term) return false;
  return member.position.term >= term || comparePositions(member.position, origin) === 0;
}
