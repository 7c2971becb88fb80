import type { MemberStatus, Position } from '@wisterialift/schema';
import { isInHistory } from '../engine/logHistory';
import type { Member, MemberTable } from '../engine/memberTable';

/** A write that the primary has completed and that is not yet acknowledged to the caller. @internal */
export interface PendingWrite {
  requestId: string;
  /** Term of the primary that ran the write. */
  term: number;
  /** Undefined if the statement wrote no log entry. */
  position: Position | undefined;
  /** First status request sent after the write completed; earlier answers do not confirm it. */
  firstControlRequestId: number;
  completedAt: number;
}

/**
 * Outcome of a pending write: confirmed by a majority, present in the log of a newer primary, or absent
 * from it.
 *
 * @internal
 */
export type PendingWriteOutcome = 'confirmed' | 'survived' | 'discarded';

/** @internal */
export interface ResolvedWrite {
  write: PendingWrite;
  outcome: PendingWriteOutcome;
}

/** Tracks writes that wait for confirmation by a majority. @internal */
export interface ConfirmationTracker {
  add: (write: PendingWrite) => void;
  remove: (requestId: string) => void;
  /** Removes and returns the writes whose outcome is known, in order of completion. */
  takeResolved: () => ResolvedWrite[];
  size: () => number;
  /** Returns the oldest pending write that has a log entry. */
  findOldest: () => PendingWrite | undefined;
}

/**
 * Creates the tracker that decides when a write may be acknowledged.
 *
 * A write is confirmed once a majority, polled after the write completed, reports the term of the
 * write and a log that reaches its position. A promotion needs a majority that has recorded a higher
 * term. The two majorities share a member, which reported the write before it recorded the higher
 * term; the new log therefore contains the write. Lists of members that follow each other differ by one
 * member, so their majorities share one too; confirmations in terms of a later list do not count.
 *
 * @internal
 */
export function createConfirmationTracker(members: MemberTable): ConfirmationTracker {
  const pendingWrites = new Map<string, PendingWrite>();

  function takeResolved(): ResolvedWrite[] {
    const resolved: ResolvedWrite[] = [];
    if (pendingWrites.size === 0) return resolved;
    const establishedPrimary = members.findEstablishedPrimary();
    pendingWrites.forEach((write) => {
      const outcome = determineOutcome(write, members, establishedPrimary);
      if (outcome) resolved.push({ write, outcome });
    });
    resolved.forEach(({ write }) => pendingWrites.delete(write.requestId));
    return resolved;
  }

  function findOldest(): PendingWrite | undefined {
    for (const write of pendingWrites.values()) {
      if (write.position) return write;
    }
    return undefined;
  }

  return {
    add: (write) => pendingWrites.set(write.requestId, write),
    remove: (requestId) => pendingWrites.delete(requestId),
    takeResolved,
    size: () => pendingWrites.size,
    findOldest,
  };
}

function determineOutcome(
  write: PendingWrite,
  members: MemberTable,
  establishedPrimary: MemberStatus | undefined,
): PendingWriteOutcome | undefined {
  if (isConfirmed(write, members)) return 'confirmed';
  if (!establishedPrimary || establishedPrimary.currentTerm <= write.term) return undefined;
  const hasSurvived = write.position && isInHistory(write.position, establishedPrimary.termStarts);
  return hasSurvived ? 'survived' : 'discarded';
}

function isConfirmed(write: PendingWrite, members: MemberTable): boolean {
  const confirming = members
    .list()
    .flatMap((member) =>
      member.status && members.isCounted(member) && hasConfirmed(member, write)
        ? [member.status]
        : [],
    );
  return confirming.length > 0 && members.countVotes(confirming).isMajority;
}

function hasConfirmed({ status, statusControlRequestId }: Member, write: PendingWrite): boolean {
  if (!status || statusControlRequestId < write.firstControlRequestId) return false;
  if (status.currentTerm !== write.term) return false;
  if (!write.position) return true;
  return status.logEnd.term === write.term && status.logEnd.index >= write.position.index;
}
