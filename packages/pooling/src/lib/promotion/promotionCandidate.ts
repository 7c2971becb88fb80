import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { holdsTermStart } from './termStart';
import type { TermStart } from './termStart';

/** A replica that was paused for a promotion and then reported its log end. @public */
export interface PausedReplica {
  memberId: string;
  /** Term that it follows. */
  term: number;
  received: Position;
  /** Whether it leaves or the directory does not list it, so that it is not promoted. */
  isLeaving: boolean;
  /** Whether its word counts alone; a primary that is not registered waits for all others. */
  isRegistered: boolean;
  /** Whether it is in the preferred data centre; breaks ties only. */
  isPreferred: boolean;
}

/**
 * Chooses the replica with the highest log end; its log includes every acknowledged write.
 *
 * Replicas that have taken over the log from which the newest known term started go before all others.
 * A former primary may have a higher log end, with writes whose callers were told of a roll-back.
 *
 * A leaving replica is never promoted. If it alone has the highest log end, no replica is, since
 * the others may lack a write that the leaving replica confirmed.
 *
 * @param started - the newest term that a promotion is known to have started.
 * @returns undefined if no replica can be promoted now.
 * @public
 */
export function choosePromotionCandidate(
  replicas: PausedReplica[],
  started?: TermStart,
): PausedReplica | undefined {
  const successors = started ? replicas.filter((replica) => isSuccessor(replica, started)) : [];
  const considered = successors.length > 0 ? successors : replicas;
  const mostAdvanced = findMostAdvanced(considered);
  if (!mostAdvanced) return undefined;
  const eligible = considered.filter(
    ({ isLeaving, received }) =>
      !isLeaving && comparePositions(received, mostAdvanced.received) === 0,
  );
  const registered = eligible.filter(({ isRegistered }) => isRegistered);
  const candidates = registered.length > 0 ? registered : eligible;
  return candidates.find(({ isPreferred }) => isPreferred) ?? candidates[0];
}

function isSuccessor({ term, received }: PausedReplica, started: TermStart): boolean {
  return holdsTermStart({ term, position: received }, started);
}

function findMostAdvanced(replicas: PausedReplica[]): PausedReplica | undefined {
  return [...replicas].sort((left, right) => comparePositions(right.received, left.received))[0];
}
