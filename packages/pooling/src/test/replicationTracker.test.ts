import { describe, expect, it } from 'vitest';
import type { Position } from '@wisterialift/schema';
import { createGroupEvidence } from '../index';
import type { ConfirmationResult, EvidenceWait, GroupEvidence, Observation } from '../index';

/** Observes an answer to a request sent after all earlier ones. */
function observe(evidence: GroupEvidence, seen: Partial<Observation> & { memberId: string }): void {
  const { term = 1, position = { term, index: 1 } } = seen;
  evidence.observe({
    askedSequence: evidence.nextSequence(),
    askedAt: 0,
    isPrimary: false,
    applied: position,
    ...seen,
    position,
    term,
  });
}

async function getResult(wait: EvidenceWait): Promise<ConfirmationResult | 'pending'> {
  return Promise.race([wait.verdict, Promise.resolve().then(() => 'pending' as const)]);
}

const MEMBERS = ['a', 'b', 'c'];

/** Waits until a replica has received a commit of the primary `a`. */
function waitForCopy(evidence: GroupEvidence, position: Position, members = MEMBERS): EvidenceWait {
  return evidence.waitForCopy({ position, primaryId: 'a', memberIds: () => members });
}

describe('confirming a commit', () => {
  const position = { term: 1, index: 5 };

  it.each([
    [
      'stays pending for a replica with a lower position',
      { memberId: 'b', position: { term: 1, index: 4 } },
      'pending',
    ],
    [
      'stays pending for the primary itself',
      { memberId: 'a', position, isPrimary: true },
      'pending',
    ],
    [
      'is proved by a replica that has received the position',
      { memberId: 'b', position },
      { type: 'proved' },
    ],
    [
      'is superseded by a member of a later term, whatever its position',
      { memberId: 'b', term: 2, position: { term: 2, index: 9 } },
      { type: 'superseded', term: 2 },
    ],
  ])('%s', async (_, seen, verdict) => {
    const evidence = createGroupEvidence();
    const wait = waitForCopy(evidence, position);
    observe(evidence, seen);
    expect(await getResult(wait)).toEqual(verdict);
  });

  it('counts observations from before the wait', async () => {
    const evidence = createGroupEvidence();
    observe(evidence, { memberId: 'b', position });
    expect(await getResult(waitForCopy(evidence, position))).toEqual({
      type: 'proved',
    });
  });
});

describe('confirming the first commit of a term', () => {
  const position = { term: 2, index: 57 };

  it('stays pending until a replica that has received it has applied the term', async () => {
    // Outdated read: a replica confirmed the commit with an entry that it had not applied, and then
    // confirmed a read of the replaced primary in the former term.
    const evidence = createGroupEvidence();
    const applied = { term: 1, index: 55 };
    const wait = waitForCopy(evidence, position);
    observe(evidence, { memberId: 'b', term: 2, position, applied });
    expect(await getResult(wait)).toBe('pending');
    observe(evidence, { memberId: 'b', term: 2, position: { term: 2, index: 56 } });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('stays pending until a second replica of a group of four has applied the term', async () => {
    // Outdated read: one replica confirmed the commit, and another one, which lagged, confirmed a read
    // of the replaced primary.
    const evidence = createGroupEvidence();
    const wait = waitForCopy(evidence, position, ['a', 'b', 'c', 'd']);
    observe(evidence, { memberId: 'b', term: 2, position });
    expect(await getResult(wait)).toBe('pending');
    observe(evidence, { memberId: 'c', term: 2, position: { term: 2, index: 1 } });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('does not count a forgotten member', async () => {
    const evidence = createGroupEvidence();
    observe(evidence, { memberId: 'b', term: 2, position });
    evidence.forgetMember('b');
    expect(await getResult(waitForCopy(evidence, position))).toBe('pending');
  });
});

describe('confirming a read', () => {
  it('counts only answers to requests sent after the read arrived', async () => {
    // Outdated read: the replica's answer was requested before the primary was replaced and a write
    // was acknowledged, both before the read arrived.
    const evidence = createGroupEvidence();
    const askedSequence = evidence.nextSequence();
    const sequence = evidence.nextSequence();
    const wait = evidence.waitForTerm({ term: 1, sequence, primaryId: 'a' });
    observe(evidence, { memberId: 'b', askedSequence });
    expect(await getResult(wait)).toBe('pending');
    observe(evidence, { memberId: 'b' });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('is superseded by a member of a later term', async () => {
    const evidence = createGroupEvidence();
    const wait = evidence.waitForTerm({ term: 1, sequence: 0, primaryId: 'a' });
    observe(evidence, { memberId: 'c', term: 3 });
    expect(await getResult(wait)).toEqual({ type: 'superseded', term: 3 });
  });

  it('removes a cancelled wait', () => {
    const evidence = createGroupEvidence();
    evidence.waitForTerm({ term: 1, sequence: 0, primaryId: 'a' }).cancel();
    expect(evidence.hasPendingWaits()).toBe(false);
  });
});

describe('the minimum position of a read with bounded staleness', () => {
  const sample = (evidence: GroupEvidence, askedAt: number, index: number, term = 1) =>
    observe(evidence, {
      memberId: 'a',
      askedAt,
      isPrimary: true,
      term,
      position: { term, index },
    });

  it('is the oldest position of the primary within the maximum age', () => {
    const evidence = createGroupEvidence();
    [100, 600, 1_100].forEach((askedAt, index) => sample(evidence, askedAt, index + 1));
    const floorAt = (now: number) => evidence.findFloor({ now, maximumAge: 500 })?.position.index;
    expect([600, 601, 1_100, 1_601].map(floorAt)).toEqual([1, 2, 2, undefined]);
  });

  it('ignores samples of earlier terms', () => {
    const evidence = createGroupEvidence();
    sample(evidence, 100, 7);
    observe(evidence, { memberId: 'b', term: 2 });
    expect(evidence.findFloor({ now: 200, maximumAge: 500 })).toBeUndefined();
    sample(evidence, 150, 8, 2);
    expect(evidence.findFloor({ now: 200, maximumAge: 500 })?.position).toEqual({
      term: 2,
      index: 8,
    });
  });

  it('is undefined after the samples were cleared', () => {
    const evidence = createGroupEvidence();
    sample(evidence, 100, 7);
    evidence.forgetAges();
    expect(evidence.findFloor({ now: 100, maximumAge: 500 })).toBeUndefined();
  });
});

describe('a restarted member', () => {
  const position = { term: 1, index: 5 };

  it('confirms nothing with positions received before the restart', async () => {
    // A commit was acknowledged by a replica that had since restarted with an empty log.
    const evidence = createGroupEvidence();
    observe(evidence, { memberId: 'b', position });
    evidence.restartMember('b', { trustedFrom: 0 });
    expect(await getResult(waitForCopy(evidence, position))).toBe('pending');
  });

  it('counts no answer requested before a promotion may have ended', async () => {
    // Lost write: a replica restarted after a promotion had read its log, received a commit from the
    // old primary and confirmed it.
    const evidence = createGroupEvidence();
    evidence.restartMember('b', { trustedFrom: 3_000 });
    const wait = waitForCopy(evidence, position);
    const seen = [];
    observe(evidence, { memberId: 'b', position, askedAt: 2_900 });
    seen.push(await getResult(wait));
    observe(evidence, { memberId: 'b', position, askedAt: 3_100 });
    seen.push(await getResult(wait));
    expect(seen).toEqual(['pending', { type: 'proved' }]);
  });

  it('still reports a later term, and log ends as its primary', async () => {
    const evidence = createGroupEvidence();
    evidence.restartMember('b', { trustedFrom: 3_000 });
    const later = { term: 2, index: 7 };
    observe(evidence, { memberId: 'b', term: 2, position: later, askedAt: 100, isPrimary: true });
    expect(await getResult(waitForCopy(evidence, position))).toEqual({
      type: 'superseded',
      term: 2,
    });
    expect(evidence.findFloor({ now: 200, maximumAge: 500 })?.position).toEqual(later);
  });
});
