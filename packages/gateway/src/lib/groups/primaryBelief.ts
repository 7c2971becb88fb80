import type { Member } from './member';

/** Whom this instance takes for the primary, and what speaks against it. */
export interface PrimaryBelief {
  find: () => Member | undefined;
  /** A member answered that it is not the primary. */
  denyPrimary: (member: Member) => void;
  /** A member proved to be the primary of a term. */
  provePrimary: (memberId: string, term: number) => void;
  /** Whether the member is known to be the primary of that term. */
  isProved: (memberId: string, term: number) => boolean;
  /** Resolves at the next change, or after `milliseconds`. */
  waitForChange: (milliseconds: number) => Promise<void>;
  notifyChange: () => void;
}

/**
 * Forms the belief from the directory, the members' own answers and finished promotions.
 *
 * A proof of a higher term outweighs the directory, which lags; a denial holds until the member's
 * entry changes.
 */
export function createPrimaryBelief(members: Map<string, Member>): PrimaryBelief {
  const primaryOfTerm = new Map<number, string>();
  const denials = new Map<string, number>();
  const listeners = new Set<() => void>();
  let provedTerm = 0;

  const isDenied = ({ entry }: Member) => denials.get(entry.memberId) === entry.revision;

  /** The member whose entry says so; of several, the one whose entry changed last. */
  const findListed = (): Member | undefined => {
    let listed: Member | undefined;
    for (const member of members.values()) {
      const isCandidate = member.entry.isPrimary && !isDenied(member);
      if (isCandidate && (!listed || member.entry.revision > listed.entry.revision))
        listed = member;
    }
    return listed;
  };

  const find = (): Member | undefined => {
    const proved = members.get(primaryOfTerm.get(provedTerm) ?? '');
    if (proved && !isDenied(proved)) return proved;
    return findListed();
  };

  const notifyChange = () => {
    for (const listener of [...listeners]) listener();
  };

  return {
    find,
    denyPrimary: (member) => {
      denials.set(member.entry.memberId, member.entry.revision);
      notifyChange();
    },
    provePrimary: (memberId, term) => {
      if (primaryOfTerm.get(term) === memberId) return;
      primaryOfTerm.set(term, memberId);
      if (term > provedTerm) {
        provedTerm = term;
        denials.delete(memberId);
      }
      notifyChange();
    },
    isProved: (memberId, term) => primaryOfTerm.get(term) === memberId,
    waitForChange: (milliseconds) =>
      new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          listeners.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, Math.max(0, milliseconds));
        listeners.add(finish);
      }),
    notifyChange,
  };
}
