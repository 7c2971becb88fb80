import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';

/** A replica that was paused for a promotion and then reported its log end. @public */
export interface PausedReplica {
  memberId: string;
  received: Position;
  isLeaving: boolean;
  /** Whether its word counts alone; a primary that is not registered waits for all others. */
  isRegistered: boolean;
  /** Whether it is in the preferred data centre; breaks ties only. */
  isPreferred: boolean;
}

/**
 * Chooses the replica with the highest log end; its log includes every acknowledged write.
 *
 * A leaving replica is never promoted. If it alone has the highest log end, no replica is, since
 * the others may lack a write that the leaving replica confirmed.
 *
 * @returns undefined if no replica can be promoted now.
 * @public
 */
export function choosePromotionCandidate(replicas: PausedReplica[]): PausedReplica | undefined {
  const mostAdvanced = findMostAdvanced(replicas);
  if (!mostAdvanced) return undefined;
  const eligible = replicas.filter(
    ({ isLeaving, received }) =>
      !isLeaving && comparePositions(received, mostAdvanced.received) === 0,
  );
  const registered = eligible.filter(({ isRegistered }) => isRegistered);
  const candidates = registered.length > 0 ? registered : eligible;
  return candidates.find(({ isPreferred }) => isPreferred) ?? candidates[0];
}

function findMostAdvanced(replicas: PausedReplica[]): PausedReplica | undefined {
  return [...replicas].sort((left, right) => comparePositions(right.received, left.received))[0];
}
