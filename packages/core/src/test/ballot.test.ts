import { describe, expect, it } from 'vitest';
import { chooseCandidate, emptyBallot } from '../lib/failover/ballot';

describe('choosing whom to promote', () => {
  function choose(logEnds: Record<string, number>, unwanted: string): string {
    const ballot = emptyBallot();
    for (const [member, index] of Object.entries(logEnds)) {
      const logEnd = { term: 1, index };
      ballot.grants.set(member, {
        member,
        role: 'replica',
        currentTerm: 2,
        logEnd,
        applied: logEnd,
        termStarts: [],
      });
    }
    return chooseCandidate({ ballot, majority: 2, isUnwanted: (member) => member === unwanted });
  }

  it('takes an unwanted member before one that is behind an acknowledged write', () => {
    // A technician's acknowledged entry was gone after the primary had been replaced.
    // The furthest member was about to leave, so the other that had granted the term was taken; the
    // entry was confirmed by the primary and the leaving member alone.
    expect(choose({ b: 9, c: 5 }, 'b')).toBe('b');
  });

  it('passes an unwanted member over where another holds as much of every majority', () => {
    expect(choose({ a: 9, b: 7, c: 5 }, 'a')).toBe('b');
    expect(choose({ b: 9, c: 9 }, 'b')).toBe('c');
  });
});
