import type { MemberObservation } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { describe, expect, it, vi } from 'vitest';
import type { GroupContext } from '../lib/groups/groupContext';
import type { Member } from '../lib/groups/member';
import { handleMissingCommit } from '../lib/groups/ownCommit';
import type { StatementRequest } from '../lib/groups/statementRequest';
import { createTestLogger, GROUP } from './fixture';

const COMMIT: Position = { term: 2, index: 5 };

const BEFORE: Position = { term: 1, index: 9 };

/** Handles the refusal of a member that lacks the commit; `seen` is its latest observation. */
function handleRefusal(options: {
  seen?: Pick<MemberObservation, 'isPrimary' | 'position' | 'term'>;
  confirmedTerm?: number;
  applied?: Position;
  after?: Position;
}) {
  const { seen, confirmedTerm = 0, applied = BEFORE, after = COMMIT } = options;
  const rejectPrimary = vi.fn();
  const context = {
    group: GROUP,
    logger: createTestLogger(),
    evidence: { getHighestTerm: () => 1, getLatestObservation: () => seen },
    primaryTracker: { getConfirmedTerm: () => confirmedTerm, rejectPrimary },
  } as unknown as GroupContext;
  const member = { entry: { memberId: 'db-1' } } as Member;
  const session = { stateVersion: 0, lastCommit: { position: COMMIT, seenAt: 0 } };
  const request = { id: 'q1', session } as unknown as StatementRequest;
  handleMissingCommit(context, request, {
    member,
    after,
    answer: {
      outcome: 'refused',
      reason: 'lagging',
      detail: 'db-1',
      transaction: 'idle',
      position: applied,
    },
  });
  return {
    isDiscarded: session.lastCommit === undefined,
    rejectedTerms: rejectPrimary.mock.calls.map(([, term]) => term),
  };
}

describe('a member that was taken for the primary and lacks the last commit', () => {
  const nothing = { isDiscarded: false, rejectedTerms: [] };

  it.each([
    ['has led earlier terms only', { confirmedTerm: 1 }, { ...nothing, rejectedTerms: [1] }],
    [
      'has applied a later term',
      { applied: { term: 3, index: 4 } },
      { ...nothing, isDiscarded: true },
    ],
    [
      'has led a later term from an older log',
      { confirmedTerm: 3, seen: { isPrimary: true, term: 3, position: BEFORE } },
      { ...nothing, isDiscarded: true },
    ],
    [
      'follows a later term with an older log',
      { confirmedTerm: 2, seen: { isPrimary: false, term: 3, position: BEFORE } },
      nothing,
    ],
    [
      'leads a later term and has yet to apply its log',
      { confirmedTerm: 3, seen: { isPrimary: true, term: 3, position: { term: 2, index: 9 } } },
      nothing,
    ],
    ['leads the term of the commit', { confirmedTerm: 2 }, nothing],
    ['was asked for another position', { confirmedTerm: 1, after: { term: 2, index: 9 } }, nothing],
  ])('%s', (_, options, expected) => {
    expect(handleRefusal(options)).toEqual(expected);
  });
});
