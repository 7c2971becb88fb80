import type { UpstreamAnswer } from '@wisterialift/pooling';
import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { needsPrimary } from './reachMonitor';
import type { StatementNeeds } from './reachMonitor';
import type { GroupSession, StatementRequest } from './statementRequest';

/**
 * Returns the last commit of the session if its route promises that the session reads its own writes.
 * Whatever reads for it must run on a log that has this position.
 */
export function findOwnCommit({ route, session }: StatementRequest): GroupSession['lastCommit'] {
  return route.consistency === 'readYourWrites' ? session.lastCommit : undefined;
}

/**
 * Whether the session has a commit of a later term than any that this instance has seen a member in.
 * Another instance acknowledged it, and the primary that is known here has been replaced.
 */
export function isBehindSession({ evidence }: GroupContext, needs: StatementNeeds): boolean {
  const { session, route } = needs.request;
  if (!needsPrimary(needs) && route.consistency !== 'readYourWrites') return false;
  const seenTerm = evidence.getHighestTerm();
  // An instance that has seen no member yet has nothing outdated.
  return seenTerm > 0 && (session.lastCommit?.position.term ?? 0) > seenTerm;
}

/**
 * Learns from a member that was taken for the primary and lacks the session's last commit.
 *
 * If it has led a later term without it, a promotion has discarded the commit, and the session goes on.
 * If it has led earlier terms only, it was replaced. A promoted member that has yet to apply the commit
 * tells neither.
 *
 * @param refusal.after - position that the member was asked for.
 */
export function handleMissingCommit(
  context: GroupContext,
  { id: requestId, session }: StatementRequest,
  refusal: { member: Member; after: Position | undefined; answer: UpstreamAnswer },
): void {
  const { evidence, group, logger, primaryTracker } = context;
  const { member, after, answer } = refusal;
  const commit = session.lastCommit;
  if (!commit || !after || comparePositions(after, commit.position) !== 0) return;
  const { memberId } = member.entry;
  const { term } = commit.position;
  const appliedTerm = answer.position?.term ?? 0;
  if (appliedTerm > term || hasLedWithout(context, member, commit.position)) {
    logger.warn('ownCommitDiscarded', { group, requestId, commit });
    Object.assign(session, { lastCommit: undefined });
    return;
  }
  const ledTerm = Math.max(appliedTerm, primaryTracker.getConfirmedTerm(memberId));
  if (ledTerm >= term) return;
  const seenTerm = evidence.getHighestTerm();
  logger.info('ownCommitMissing', { group, requestId, memberId, commit, ledTerm, seenTerm });
  primaryTracker.rejectPrimary(member, ledTerm);
}

/** Whether the member was seen to lead a later term from a log that ends before the commit. */
function hasLedWithout({ evidence }: GroupContext, { entry }: Member, commit: Position): boolean {
  const seen = evidence.getLatestObservation(entry.memberId);
  if (!seen?.isPrimary || seen.term <= commit.term) return false;
  return comparePositions(seen.position, commit) < 0;
}
