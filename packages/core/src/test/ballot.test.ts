import { describe, expect, it } from 'vitest';
import { chooseCandidate, createBallot } from '../lib/failover/ballot';

describe('chooseCandidate', () => {
  function choose(logEnds: Record<string, number>, deprioritized: string): string {
    const ballot = createBallot();
    for (const [member, index] of Object.entries(logEnds)) {
      const logEnd = { term: 1, index };
      ballot.grants.set(member, {
        member,
        role: 'replica',
        currentTerm: 2,
        logEnd,
        applied: logEnd,
        termStarts: [],
        incarnation: `${member}-1`,
      });
    }
    return chooseCandidate({
      ballot,
      majority: 2,
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
