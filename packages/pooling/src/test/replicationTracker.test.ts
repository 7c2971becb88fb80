import { describe, expect, it } from 'vitest';
import type { Position } from '@wisterialift/schema';
import { createReplicationTracker } from '../index';
import type {
  ClockReadings,
  ConfirmationWait,
  MemberObservation,
  ObservationWait,
  ReplicationTracker,
  TermStart,
} from '../index';

/** Readings of two clocks that agree, `time` milliseconds after their start. */
const readingsAt = (time: number): ClockReadings => ({ monotonic: time, wall: time });

/** Observes an answer to a request sent after all earlier ones. */
function observe(
  tracker: ReplicationTracker,
  seen: Partial<MemberObservation> & { memberId: string },
): void {
  const { term = 1, position = { term, index: 1 } } = seen;
  tracker.observe({
    requestSequenceNumber: tracker.takeNextSequenceNumber(),
    requestedAt: readingsAt(0),
    isPrimary: false,
    applied: position,
    ...seen,
    position,
    term,
  });
}

async function getResult<Result>(wait: ObservationWait<Result>): Promise<Result | 'pending'> {
  return Promise.race([wait.result, Promise.resolve().then(() => 'pending' as const)]);
}

const MEMBERS = ['a', 'b', 'c'];

/** Waits until a replica has received a commit of the primary `a`. */
function waitForReplication(
  tracker: ReplicationTracker,
  position: Position,
  members = MEMBERS,
  departed: string[] = [],
): ConfirmationWait {
  return tracker.waitForReplication({
    position,
    primaryId: 'a',
    memberIds: () => members,
    departedIds: () => departed,
    isRegistered: () => true,
    isHeldByAll: () => false,
  });
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
      'is confirmed by a replica that has received the position',
      { memberId: 'b', position },
      { type: 'proved' },
    ],
    [
      'is superseded by a member of a later term, whatever its position',
      { memberId: 'b', term: 2, position: { term: 2, index: 9 } },
      { type: 'superseded', term: 2 },
    ],
  ])('%s', async (_, seen, expected) => {
    const tracker = createReplicationTracker();
    const wait = waitForReplication(tracker, position);
    observe(tracker, seen);
    expect(await getResult(wait)).toEqual(expected);
  });

  it('counts observations from before the wait', async () => {
    const tracker = createReplicationTracker();
    observe(tracker, { memberId: 'b', position });
    expect(await getResult(waitForReplication(tracker, position))).toEqual({
      type: 'proved',
    });
  });
});

describe('confirming the first commit of a term', () => {
  const position = { term: 2, index: 57 };

  it('stays pending until a replica that has received it has applied the term', async () => {
    // Guards against an outdated read: a replica that confirms a commit with an unapplied entry could
    // then confirm a read of the replaced primary in the former term.
    const tracker = createReplicationTracker();
    const applied = { term: 1, index: 55 };
    const wait = waitForReplication(tracker, position);
    observe(tracker, { memberId: 'b', term: 2, position, applied });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'b', term: 2, position: { term: 2, index: 56 } });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('stays pending until a second replica of a group of four has applied the term', async () => {
    // Guards against an outdated read: one replica confirms the commit while another one, which lags,
    // confirms a read of the replaced primary.
    const tracker = createReplicationTracker();
    const wait = waitForReplication(tracker, position, ['a', 'b', 'c', 'd']);
    observe(tracker, { memberId: 'b', term: 2, position });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'c', term: 2, position: { term: 2, index: 1 } });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('waits for the term of one of two members that departed recently', async () => {
    // Guards against reads of a former primary that a departed replica confirms elsewhere.
    const tracker = createReplicationTracker();
    observe(tracker, { memberId: 'b', term: 2, position });
    const wait = waitForReplication(tracker, position, ['a', 'b'], ['c', 'd']);
    expect(await getResult(wait)).toBe('pending');
    const other = waitForReplication(tracker, position, ['a', 'b'], ['a', 'c']);
    expect(await getResult(other)).toEqual({ type: 'proved' });
  });

  it('does not count a removed member', async () => {
    const tracker = createReplicationTracker();
    observe(tracker, { memberId: 'b', term: 2, position });
    tracker.removeMember('b');
    expect(await getResult(waitForReplication(tracker, position))).toBe('pending');
  });
});

describe('confirming a read', () => {
  const confirmedByOne = {
    primaryId: 'a',
    isRegistered: () => true,
    isHeldByAll: () => false,
  };

  it('needs all others where no registered replica answers', async () => {
    // Guards against a read without a commit that was acknowledged without asking the replica.
    const tracker = createReplicationTracker();
    const wait = tracker.waitForTermConfirmation({
      term: 1,
      sequence: 0,
      primaryId: 'a',
      isRegistered: () => false,
      isHeldByAll: (memberIds) => memberIds.length === 2,
    });
    observe(tracker, { memberId: 'b' });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'c' });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('counts only answers to requests sent after the read arrived', async () => {
    // Guards against an outdated read that is confirmed by an answer requested before the primary was
    // replaced and a write was acknowledged, both before the read arrived.
    const tracker = createReplicationTracker();
    const requestSequenceNumber = tracker.takeNextSequenceNumber();
    const sequence = tracker.takeNextSequenceNumber();
    const wait = tracker.waitForTermConfirmation({ term: 1, sequence, ...confirmedByOne });
    observe(tracker, { memberId: 'b', requestSequenceNumber });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'b' });
    expect(await getResult(wait)).toEqual({ type: 'proved' });
  });

  it('is superseded by a member of a later term', async () => {
    const tracker = createReplicationTracker();
    const wait = tracker.waitForTermConfirmation({ term: 1, sequence: 0, ...confirmedByOne });
    observe(tracker, { memberId: 'c', term: 3 });
    expect(await getResult(wait)).toEqual({ type: 'superseded', term: 3 });
  });

  it('removes a cancelled wait', () => {
    const tracker = createReplicationTracker();
    tracker.waitForTermConfirmation({ term: 1, sequence: 0, ...confirmedByOne }).cancel();
    expect(tracker.hasPendingWaits()).toBe(false);
  });
});

describe('the minimum position of a read with bounded staleness', () => {
  const sample = (tracker: ReplicationTracker, requestedAt: number, index: number, term = 1) =>
    observe(tracker, {
      memberId: 'a',
      requestedAt: readingsAt(requestedAt),
      isPrimary: true,
      term,
      position: { term, index },
    });

  it('is the oldest position of the primary within the maximum age', () => {
    const tracker = createReplicationTracker();
    [100, 600, 1_100].forEach((requestedAt, index) => sample(tracker, requestedAt, index + 1));
    const minimumIndexAt = (now: number) =>
      tracker.findFloor({ now: readingsAt(now), maximumAge: 500 })?.position.index;
    expect([600, 601, 1_100, 1_601].map(minimumIndexAt)).toEqual([1, 2, 2, undefined]);
  });

  it('ignores samples of earlier terms', () => {
    const tracker = createReplicationTracker();
    sample(tracker, 100, 7);
    observe(tracker, { memberId: 'b', term: 2 });
    expect(tracker.findFloor({ now: readingsAt(200), maximumAge: 500 })).toBeUndefined();
    sample(tracker, 150, 8, 2);
    expect(tracker.findFloor({ now: readingsAt(200), maximumAge: 500 })?.position).toEqual({
      term: 2,
      index: 8,
    });
  });

  it.each([
    ['monotonic', { monotonic: 701, wall: 100 }],
    ['wall', { monotonic: 100, wall: 701 }],
  ])('is undefined, and a reply is not recent, once the %s clock shows a greater age', (_, now) => {
    const tracker = createReplicationTracker();
    sample(tracker, 200, 7);
    expect(tracker.findFloor({ now: readingsAt(700), maximumAge: 500 })).toBeDefined();
    expect(tracker.findFloor({ now, maximumAge: 500 })).toBeUndefined();
    const reply = tracker.getLatestObservation('a')!;
    expect(tracker.isRecent(reply, { now: readingsAt(700), maximumAge: 500 })).toBe(true);
    expect(tracker.isRecent(reply, { now, maximumAge: 500 })).toBe(false);
  });

  it('includes what the primary answers right after a suspension', () => {
    // Guards against reads that are refused because only samples of before the suspension are kept.
    const tracker = createReplicationTracker();
    sample(tracker, 100, 7);
    const requestedAt = { monotonic: 105, wall: 5_105 };
    observe(tracker, {
      memberId: 'a',
      requestedAt,
      isPrimary: true,
      position: { term: 1, index: 8 },
    });
    expect(tracker.findFloor({ now: requestedAt, maximumAge: 500 })?.position.index).toBe(8);
  });
});

describe('ages that were discarded', () => {
  const limit = { now: readingsAt(100), maximumAge: 500 };
  const position = { term: 1, index: 7 };

  it.each([
    ['a sample', { memberId: 'a', isPrimary: true }],
    ['a reply', { memberId: 'b' }],
  ])('leave nothing recent of %s that was requested before', (_, seen) => {
    // Guards against stale reads: the answer may arrive after the clocks were seen to disagree.
    const [before, inFlight] = [createReplicationTracker(), createReplicationTracker()];
    observe(before, seen);
    before.discardAges();
    const requestSequenceNumber = inFlight.takeNextSequenceNumber();
    inFlight.discardAges();
    observe(inFlight, { ...seen, requestSequenceNumber });
    for (const tracker of [before, inFlight]) {
      const latest = tracker.getLatestObservation(seen.memberId);
      expect(tracker.findFloor(limit)).toBeUndefined();
      expect(latest && tracker.isRecent(latest, limit)).toBe(false);
    }
  });

  it('leave nothing recent of a position learned from other members', () => {
    // Guards against stale reads while the primary is silent.
    const tracker = createReplicationTracker();
    const requested = {
      requestSequenceNumber: tracker.takeNextSequenceNumber(),
      requestedAt: readingsAt(0),
    };
    tracker.discardAges();
    tracker.addFloor({ ...requested, position });
    expect(tracker.findFloor(limit)).toBeUndefined();
  });

  it('are known again for what is requested afterwards', () => {
    // Guards against reads that are all sent to the primary after a suspension.
    const tracker = createReplicationTracker();
    tracker.discardAges();
    observe(tracker, { memberId: 'a', isPrimary: true, position });
    observe(tracker, { memberId: 'b' });
    expect(tracker.findFloor(limit)?.position).toEqual(position);
    expect(tracker.isRecent(tracker.getLatestObservation('b')!, limit)).toBe(true);
  });
});

describe('a restarted member', () => {
  const position = { term: 1, index: 5 };

  it('confirms nothing with positions received before the restart', async () => {
    // Guards against acknowledging a commit because of a replica that lost its log in a restart.
    const tracker = createReplicationTracker();
    observe(tracker, { memberId: 'b', position });
    tracker.discardObservationsBefore('b', { validFrom: 0 });
    expect(await getResult(waitForReplication(tracker, position))).toBe('pending');
  });

  it('counts no answer requested before a promotion may have ended', async () => {
    // Guards against a lost write: a replica that restarts after a promotion has read its log may
    // receive a commit from the old primary and confirm it.
    const tracker = createReplicationTracker();
    tracker.discardObservationsBefore('b', { validFrom: 3_000 });
    const wait = waitForReplication(tracker, position);
    const results = [];
    observe(tracker, { memberId: 'b', position, requestedAt: readingsAt(2_900) });
    results.push(await getResult(wait));
    observe(tracker, { memberId: 'b', position, requestedAt: readingsAt(3_100) });
    results.push(await getResult(wait));
    expect(results).toEqual(['pending', { type: 'proved' }]);
  });

  it('is ignored for no shorter time if the time of day steps forward', async () => {
    // Guards against the same lost write after a step of the time of day.
    const tracker = createReplicationTracker();
    tracker.discardObservationsBefore('b', { validFrom: 3_000 });
    const wait = waitForReplication(tracker, position);
    observe(tracker, { memberId: 'b', position, requestedAt: { monotonic: 2_900, wall: 9_000 } });
    expect(await getResult(wait)).toBe('pending');
  });

  it('still reports a later term, and log ends as its primary', async () => {
    const tracker = createReplicationTracker();
    tracker.discardObservationsBefore('b', { validFrom: 3_000 });
    const later = { term: 2, index: 7 };
    observe(tracker, {
      memberId: 'b',
      term: 2,
      position: later,
      requestedAt: readingsAt(100),
      isPrimary: true,
    });
    expect(await getResult(waitForReplication(tracker, position))).toEqual({
      type: 'superseded',
      term: 2,
    });
    expect(tracker.findFloor({ now: readingsAt(200), maximumAge: 500 })?.position).toEqual(later);
  });
});

describe('the outcome of a commit whose primary was replaced', () => {
  const started: TermStart = { term: 2, primaryId: 'a', origin: { term: 1, index: 5 } };
  const kept = { term: 1, index: 5 };
  const beyond = { term: 1, index: 6 };

  interface Known {
    members?: string[];
    isRegistered?: (memberId: string) => boolean;
    isHeldByAll?: () => boolean;
  }

  const settle = (tracker: ReplicationTracker, position: Position, known: Known = {}) =>
    tracker.waitForSettlement({
      position,
      started,
      primaryId: 'a',
      memberIds: () => known.members ?? MEMBERS,
      departedIds: () => [],
      isRegistered: known.isRegistered ?? (() => true),
      isHeldByAll: known.isHeldByAll ?? (() => false),
    });

  /** The former primary, which does not hear of the next term, and a replica that receives nothing. */
  function observeOutsiders(tracker: ReplicationTracker): void {
    observe(tracker, { memberId: 'b', term: 1, position: { term: 1, index: 9 } });
    observe(tracker, { memberId: 'c', term: 1, position: { term: 1, index: 3 } });
  }

  it.each([kept, beyond])(
    'is open while no member follows the next term (%o)',
    async (position) => {
      // Guards against writes that return once the former primary is promoted again with its old log.
      const tracker = createReplicationTracker();
      observe(tracker, {
        memberId: 'a',
        term: 2,
        isPrimary: true,
        position: { term: 2, index: 9 },
      });
      observeOutsiders(tracker);
      expect(await getResult(settle(tracker, position))).toBe('pending');
    },
  );

  it.each([
    ['kept up to the start of the term', kept, { type: 'kept' }],
    ['discarded beyond it', beyond, { type: 'discarded' }],
  ])('is %s once another member has that log', async (_, position, outcome) => {
    const tracker = createReplicationTracker();
    const wait = settle(tracker, position);
    observeOutsiders(tracker);
    observe(tracker, { memberId: 'c', term: 1, position: started.origin });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'c', term: 2, position: { term: 1, index: 4 } });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'c', term: 2, position: started.origin });
    expect(await getResult(wait)).toEqual(outcome);
  });

  it('is open while the former primary follows with the log that it had', async () => {
    // Guards against counting a primary that was demoted and has not rolled its log back yet.
    const tracker = createReplicationTracker();
    const wait = settle(tracker, beyond);
    observe(tracker, { memberId: 'b', term: 2, position: { term: 1, index: 9 } });
    expect(await getResult(wait)).toBe('pending');
    observe(tracker, { memberId: 'b', term: 2, position: started.origin });
    expect(await getResult(wait)).toEqual({ type: 'discarded' });
  });

  it('counts a follower like one that confirms a commit', async () => {
    // Guards against a follower that a promotion by another list of members does not ask.
    const tracker = createReplicationTracker();
    observe(tracker, { memberId: 'c', term: 2, position: started.origin });
    const isRegistered = (memberId: string) => memberId !== 'c';
    expect(await getResult(settle(tracker, beyond, { isRegistered }))).toBe('pending');
    const isHeldByAll = () => true;
    const settled = settle(tracker, beyond, { isRegistered, isHeldByAll });
    expect(await getResult(settled)).toEqual({ type: 'discarded' });
  });

  it('keeps a commit only where a read by one replica cannot miss it', async () => {
    // Guards against a read of an older primary that a replica in its term confirms.
    const tracker = createReplicationTracker();
    const members = ['a', 'b', 'c', 'd'];
    observe(tracker, { memberId: 'c', term: 2, position: started.origin });
    expect(await getResult(settle(tracker, kept, { members }))).toBe('pending');
    expect(await getResult(settle(tracker, beyond, { members }))).toEqual({ type: 'discarded' });
  });

  it('is left to the next term if that is superseded as well', async () => {
    const tracker = createReplicationTracker();
    const wait = settle(tracker, beyond);
    observe(tracker, { memberId: 'b', term: 3, isPrimary: true, position: beyond });
    expect(await getResult(wait)).toEqual({ type: 'superseded', term: 3 });
  });
});
