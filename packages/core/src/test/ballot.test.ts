import { describe, expect, it } from 'vitest';
import type { MemberStatus } from '@wisterialift/schema';
import { chooseCandidate } from '../lib/failover/ballot';

describe('chooseCandidate', () => {
  function choose(logEnds: Record<string, number>, deprioritized: string): string {
    const statuses = Object.entries(logEnds).map(([member, index]): MemberStatus => {
      const logEnd = { term: 1, index };
      return {
        member,
        role: 'replica',
        currentTerm: 2,
        logEnd,
        applied: logEnd,
        termStarts: [],
        incarnation: `${member}-1`,
      };
    });
    return chooseCandidate({
      grants: { isMajority: true, statuses, majority: 2, votersAt: { term: 0, index: 0 } },
      isDeprioritized: (member) => member === deprioritized,
    });
  }

  it('prefers a deprioritized member to one that lacks an acknowledged write', () => {
    // Guards against losing a write that only the old primary and the deprioritized member hold.
    expect(choose({ b: 9, c: 5 }, 'b')).toBe('b');
  });

  it('skips a deprioritized member if another eligible one exists', () => {
    expect(choose({ a: 9, b: 7, c: 5 }, 'a')).toBe('b');
    expect(choose({ b: 9, c: 9 }, 'b')).toBe('c');
  });
});
