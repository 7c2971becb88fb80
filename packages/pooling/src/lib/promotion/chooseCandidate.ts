import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';

/** A replica that was stopped and told its log end afterwards. @public */
export interface StoppedReplica {
  memberId: string;
  received: Position;
  isLeaving: boolean;
  /** Whether it stands where most callers of writes are; breaks ties only. */
  isPreferred: boolean;
}

/**
 * Chooses the replica to promote: the furthest log, since every acknowledged write is on one of the
 * stopped replicas and a log that is further holds all that a shorter one does.
 *
 * A replica that leaves takes no statements soon, so it is not promoted. Where it is the furthest,
 * none is: the others may lack a write that it confirmed, and its log goes on to its successor.
 *
 * @returns undefined where no replica can be promoted now.
 * @public
 */
export function chooseCandidate(replicas: StoppedReplica[]): StoppedReplica | undefined {
  const furthest = furthestOf(replicas);
  if (!furthest) return undefined;
  const equal = replicas.filter(
    ({ isLeaving, received }) => !isLeaving && comparePositions(received, furthest.received) === 0,
  );
  return equal.find(({ isPreferred }) => isPreferred) ?? equal[0];
}

function furthestOf(replicas: StoppedReplica[]): StoppedReplica | undefined {
  return [...replicas].sort((left, right) => comparePositions(right.received, left.received))[0];
}
