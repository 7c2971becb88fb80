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
 * @public
 */
export function chooseCandidate(replicas: StoppedReplica[]): StoppedReplica | undefined {
  const staying = replicas.filter(({ isLeaving }) => !isLeaving);
  const furthest = furthestOf(replicas);
  if (!furthest) return undefined;
  const equal = staying.filter(
    ({ received }) => comparePositions(received, furthest.received) === 0,
  );
  return equal.find(({ isPreferred }) => isPreferred) ?? equal[0] ?? furthest;
}

function furthestOf(replicas: StoppedReplica[]): StoppedReplica | undefined {
  return [...replicas].sort((left, right) => comparePositions(right.received, left.received))[0];
}
