import type { MemberStatus, Position } from '@wisterialift/schema';
import { isInHistory } from '../engine/history';
import type { Member, MemberTable } from '../engine/memberTable';

/** A write that the primary has completed and that is not yet acknowledged to the caller. @internal */
export interface HeldWrite {
  requestId: string;
  /** Term of the primary that ran the write. */
  term: number;
  /** Undefined if the statement wrote no log entry. */
  position: Position | undefined;
  /** First status request sent after the write completed; earlier answers do not confirm it. */
  firstQuestionId: number;
  completedAt: number;
}

/**
 * Outcome of a pending write: confirmed by a majority, present in the log of a newer primary, or absent
 * from it.
 *
 * @internal
 */
export type HeldWriteOutcome = 'confirmed' | 'survived' | 'discarded';

/** @internal */
export interface SettledWrite {
  write: HeldWrite;
  settlement: HeldWriteOutcome;
}

/** Tracks writes that wait for confirmation by a majority. @internal */
export interface ConfirmationTracker {
  hold: (write: HeldWrite) => void;
  remove: (requestId: string) => void;
  /** Removes and returns the writes whose outcome is known, in order of completion. */
  takeSettled: () => SettledWrite[];
  size: () => number;
  /** Returns the oldest pending write that has a log entry. */
  oldest: () => HeldWrite | undefined;
}

/**
 * Creates the tracker that decides when a write may be acknowledged.
 *
 * A write is confirmed once a majority, asked after the write completed, reports the term of the write
 * and a log that reaches its position. A promotion needs a majority that has recorded a higher term.
 * The two majorities share a member, which reported the write before it recorded the higher term; the
 * new log therefore contains the write.
 *
 * @internal
 */
export function createConfirmationTracker(members: MemberTable): ConfirmationTracker {
  const pendingWrites = new Map<string, HeldWrite>();

  function takeSettled(): SettledWrite[] {
    const settled: SettledWrite[] = [];
    if (pendingWrites.size === 0) return settled;
    const establishedPrimary = findEstablishedPrimary(members);
    pendingWrites.forEach((write) => {
      const settlement = determineOutcome(write, members, establishedPrimary);
      if (settlement) settled.push({ write, settlement });
    });
    settled.forEach(({ write }) => pendingWrites.delete(write.requestId));
    return settled;
  }

  function oldest(): HeldWrite | undefined {
    for (const write of pendingWrites.values()) {
      if (write.position) return write;
    }
    return undefined;
  }

  return {
    hold: (write) => pendingWrites.set(write.requestId, write),
    remove: (requestId) => pendingWrites.delete(requestId),
    takeSettled,
    size: () => pendingWrites.size,
    oldest,
  };
}

function determineOutcome(
  write: HeldWrite,
  members: MemberTable,
  establishedPrimary: MemberStatus | undefined,
): HeldWriteOutcome | undefined {
  if (isConfirmed(write, members)) return 'confirmed';
  if (!establishedPrimary || establishedPrimary.currentTerm <= write.term) return undefined;
  const hasSurvived = write.position && isInHistory(write.position, establishedPrimary.termStarts);
  return hasSurvived ? 'survived' : 'discarded';
}

function isConfirmed(write: HeldWrite, members: MemberTable): boolean {
  let confirmationCount = 0;
  for (const member of members.list()) {
    if (hasConfirmed(member, write)) confirmationCount += 1;
  }
  return confirmationCount >= members.majority();
}

function hasConfirmed({ status, statusQuestionId }: Member, write: HeldWrite): boolean {
  if (!status || statusQuestionId < write.firstQuestionId) return false;
  if (status.currentTerm !== write.term) return false;
  if (!write.position) return true;
  return status.logEnd.term === write.term && status.logEnd.index >= write.position.index;
}

/**
 * Finds the primary once the logs of a majority end in its term. Until then a later promotion can still
 * start from another log.
 */
function findEstablishedPrimary(members: MemberTable): MemberStatus | undefined {
  const status = members.primary()?.status;
  if (!status) return undefined;
  const membersInTerm = members
    .list()
    .filter(
      (member) =>
        member.status?.currentTerm === status.currentTerm &&
        member.status.logEnd.term === status.currentTerm,
    );
  return membersInTerm.length >= members.majority() ? status : undefined;
}
