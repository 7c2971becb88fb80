import type { MemberReport } from '@wisterialift/pooling';
import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { sendMemberCommand } from './sendMemberCommand';

/**
 * Probes a primary for an instance that does not reach it.
 *
 * @returns its log end; undefined unless it leads and a replica that follows its term answers too. An
 *   instance that is partitioned together with a primary from all replicas has nothing to tell.
 */
export type ProbePrimary = (memberId: string) => Promise<Position | undefined>;

/**
 * Has other instances probe a primary that this one does not reach.
 *
 * @param onLogEnd - called with the result of each probe that found the primary leading.
 * @returns a promise that resolves once all have answered or the time is over.
 */
export type ProbeIndirectly = (
  memberId: string,
  onLogEnd: (logEnd: Position) => void,
) => Promise<void>;

const QUERY_TIMEOUT_MILLISECONDS = 400;

/**
 * Whether a replica has received the log of a probed primary. If none has, the primary may be
 * partitioned from its replicas, and its successor is awaited.
 */
export function isLogEndReceived(logEnd: Position, replicaReports: MemberReport[]): boolean {
  return replicaReports.some(({ received }) => comparePositions(received, logEnd) >= 0);
}

/** Creates a probe whose run serves all that ask meanwhile. */
export function createPrimaryProbe(context: GroupContext): ProbePrimary {
  const { members } = context;
  const running = new Map<string, Promise<Position | undefined>>();

  const queryStatus = (member: Member): Promise<MemberReport | undefined> =>
    sendMemberCommand(context, member, { type: 'status' }, QUERY_TIMEOUT_MILLISECONDS);

  async function requireFollower(replica: Member, term: number): Promise<void> {
    const report = await queryStatus(replica);
    if (!report || report.isPrimary || report.term !== term) throw new Error('it does not follow');
  }

  async function probe(memberId: string): Promise<Position | undefined> {
    const primary = members.get(memberId);
    const report = primary && (await queryStatus(primary));
    if (!report?.isPrimary) return undefined;
    const replicas = [...members.values()].filter(
      (member) => member !== primary && member.missingSince === undefined,
    );
    const following = replicas.map((replica) => requireFollower(replica, report.term));
    return Promise.any(following).then(
      () => report.received,
      () => undefined,
    );
  }

  return (memberId) => {
    const shared = running.get(memberId);
    if (shared) return shared;
    const result = probe(memberId).finally(() => running.delete(memberId));
    running.set(memberId, result);
    return result;
  };
}
