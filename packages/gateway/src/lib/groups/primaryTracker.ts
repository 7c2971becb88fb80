import type { CancelTimer, Clock } from '../ports/clock';
import type { Member } from './member';

/** Tracks which member this instance considers the primary. */
export interface PrimaryTracker {
  find: () => Member | undefined;
  /** Records that a member is not the primary of `term` or any earlier term. */
  rejectPrimary: (member: Member, term: number) => void;
  /** Records that a member is the primary of `term`. */
  confirmPrimary: (memberId: string, term: number) => void;
  /** Discards all terms confirmed for a member, for example after its restart. */
  discardConfirmations: (memberId: string) => void;
  /** Whether the member was confirmed as the primary of `term`. */
  isConfirmed: (memberId: string, term: number) => boolean;
  /** Returns the highest term that the member was confirmed as the primary of, 0 if none. */
  getConfirmedTerm: (memberId: string) => number;
  /** Resolves at the next change or after `milliseconds`. */
  waitForChange: (milliseconds: number) => Promise<void>;
  notifyChange: () => void;
}

/**
 * Creates a tracker that uses directory entries, members' answers and completed promotions.
 *
 * Confirmations override the directory, which lags. Rejections apply up to their term, so that late
 * answers do not affect a later promotion, and to a directory entry until it changes.
 */
export function createPrimaryTracker(members: Map<string, Member>, clock: Clock): PrimaryTracker {
  const primaryByTerm = new Map<number, string>();
  const rejections = new Map<string, { revision: number; term: number }>();
  const listeners = new Set<() => void>();
  let confirmedTerm = 0;

  const isListingRejected = ({ entry }: Member) =>
    rejections.get(entry.memberId)?.revision === entry.revision;

  const isConfirmationRejected = ({ entry }: Member) =>
    (rejections.get(entry.memberId)?.term ?? -1) >= confirmedTerm;

  /** Returns the listed primary; of several, the one with the latest entry. */
  const findListed = (): Member | undefined => {
    let listed: Member | undefined;
    for (const member of members.values()) {
      const isCandidate = member.entry.isPrimary && !isListingRejected(member);
      if (isCandidate && (!listed || member.entry.revision > listed.entry.revision)) {
        listed = member;
      }
    }
    return listed;
  };

  const find = (): Member | undefined => {
    const confirmed = members.get(primaryByTerm.get(confirmedTerm) ?? '');
    if (confirmed && !isConfirmationRejected(confirmed)) return confirmed;
    return findListed();
  };

  const notifyChange = () => {
    for (const listener of [...listeners]) listener();
  };

  return {
    find,
    rejectPrimary: ({ entry }, term) => {
      const rejectedTerm = rejections.get(entry.memberId)?.term ?? -1;
      rejections.set(entry.memberId, {
        revision: entry.revision,
        term: Math.max(term, rejectedTerm),
      });
      notifyChange();
    },
    confirmPrimary: (memberId, term) => {
      const isRejected = (rejections.get(memberId)?.term ?? -1) >= term;
      if (primaryByTerm.get(term) === memberId && !isRejected) return;
      primaryByTerm.set(term, memberId);
      confirmedTerm = Math.max(confirmedTerm, term);
      rejections.delete(memberId);
      notifyChange();
    },
    discardConfirmations: (memberId) => {
      for (const [term, primaryId] of primaryByTerm) {
        if (primaryId === memberId) primaryByTerm.delete(term);
      }
      notifyChange();
    },
    isConfirmed: (memberId, term) => primaryByTerm.get(term) === memberId,
    getConfirmedTerm: (memberId) => {
      const confirmed = [...primaryByTerm].filter(([, primaryId]) => primaryId === memberId);
      return Math.max(0, ...confirmed.map(([term]) => term));
    },
    waitForChange: (milliseconds) =>
      new Promise((resolve) => {
        let cancelTimer: CancelTimer | undefined;
        const finish = () => {
          cancelTimer?.();
          listeners.delete(finish);
          resolve();
        };
        cancelTimer = clock.runAfter(milliseconds, finish);
        listeners.add(finish);
      }),
    notifyChange,
  };
}
