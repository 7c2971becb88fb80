import type { MemberStatus, Position } from '@wisterialift/schema';
import { isInHistory } from '../engine/history';
import type { Member, MemberTable } from '../engine/memberTable';

/** A write whose database has answered and whose caller has not been told yet. @internal */
export interface HeldWrite {
  requestId: string;
  /** Term of the primary that ran it. */
  term: number;
  /** Absent where the statement wrote no log entry. */
  position: Position | undefined;
  /** Answers count from this question on: they were asked after the write had completed. */
  firstQuestionId: number;
  completedAt: number;
}

/** How a held write ends. @internal */
export type Settlement = 'confirmed' | 'survived' | 'discarded';

/** @internal */
export interface SettledWrite {
  write: HeldWrite;
  settlement: Settlement;
}

/** Writes that wait for a majority. @internal */
export interface ConfirmationTracker {
  hold: (write: HeldWrite) => void;
  remove: (requestId: string) => void;
  /** Takes out every write that the answers so far settle, in the order of their completion. */
  takeSettled: () => SettledWrite[];
  size: () => number;
  /** The write that has waited longest among those with a log entry. */
  oldest: () => HeldWrite | undefined;
}

/**
 * Creates the tracker of held acknowledgements.
 *
 * Guards against acknowledging a write of a primary that was replaced: it would show as a record that
 * a technician was told is kept and that no later read finds. A write (T, p) is confirmed once a
 * majority answered, to questions asked after it completed, that their term is T and that they hold
 * the log of T through p. A promotion to T' > T needs a majority that recorded T' first; it has a
 * member in common with the confirming one, which answered before it recorded T', so the entry is in
 * the log that T' starts from. No clock and no lease is part of that.
 *
 * @internal
 */
export function createConfirmationTracker(members: MemberTable): ConfirmationTracker {
  const held = new Map<string, HeldWrite>();

  function takeSettled(): SettledWrite[] {
    const settled: SettledWrite[] = [];
    if (held.size === 0) return settled;
    const successor = findEstablishedPrimary(members);
    held.forEach((write) => {
      const settlement = settle(write, members, successor);
      if (settlement) settled.push({ write, settlement });
    });
    settled.forEach(({ write }) => held.delete(write.requestId));
    return settled;
  }

  function oldest(): HeldWrite | undefined {
    for (const write of held.values()) {
      if (write.position) return write;
    }
    return undefined;
  }

  return {
    hold: (write) => held.set(write.requestId, write),
    remove: (requestId) => held.delete(requestId),
    takeSettled,
    size: () => held.size,
    oldest,
  };
}

function settle(
  write: HeldWrite,
  members: MemberTable,
  successor: MemberStatus | undefined,
): Settlement | undefined {
  if (isConfirmed(write, members)) return 'confirmed';
  if (!successor || successor.currentTerm <= write.term) return undefined;
  const hasSurvived = write.position && isInHistory(write.position, successor.termStarts);
  return hasSurvived ? 'survived' : 'discarded';
}

function isConfirmed(write: HeldWrite, members: MemberTable): boolean {
  let confirming = 0;
  for (const member of members.list()) {
    if (confirms(member, write)) confirming += 1;
  }
  return confirming >= members.majority();
}

function confirms({ status, statusQuestionId }: Member, write: HeldWrite): boolean {
  if (!status || statusQuestionId < write.firstQuestionId) return false;
  if (status.currentTerm !== write.term) return false;
  if (!write.position) return true;
  return status.logEnd.term === write.term && status.logEnd.index >= write.position.index;
}

/**
 * The primary whose term a majority holds in its log: nothing that it lacks can come back, and
 * nothing that it has can go. Before that a further promotion may still start from another log.
 */
function findEstablishedPrimary(members: MemberTable): MemberStatus | undefined {
  const status = members.primary()?.status;
  if (!status) return undefined;
  const holding = members
    .list()
    .filter(
      (member) =>
        member.status?.currentTerm === status.currentTerm &&
        member.status.logEnd.term === status.currentTerm,
    );
  return holding.length >= members.majority() ? status : undefined;
}
