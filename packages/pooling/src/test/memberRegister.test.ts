import { describe, expect, it } from 'vitest';
import { createDepartedMembers, isEveryCommitHeld } from '../index';
import type { MemberObservation } from '../index';

const SETTLING_MILLISECONDS = 4_500;
const TIMEOUT_MILLISECONDS = 13_500;

const departed = { memberId: 'copy', startedAt: 1 };

describe('the members of which two hold each commit', () => {
  const required = ['primary', 'copy', 'lagging'].map((memberId) => ({ memberId, startedAt: 1 }));
  const [primary, copy, lagging] = required;

  it.each([
    ['all but one answer', [copy!, lagging!], true],
    ['two are missing', [lagging!], false],
    ['another life of one answers', [{ memberId: 'copy', startedAt: 2 }, lagging!], false],
    ['a member beyond them answers', [lagging!, { memberId: 'joined', startedAt: 1 }], false],
    ['a start time is not known', [{ memberId: 'copy' }, primary!], true],
  ])('%s', (_, answered, isHeld) => {
    // Guards against a position from members none of which confirmed some commit.
    expect(isEveryCommitHeld(required, answered)).toBe(isHeld);
  });

  it('are not made up for by none', () => {
    // Guards against a position from no member at all.
    expect(isEveryCommitHeld([primary!], [])).toBe(false);
  });
});

describe('a member that the directory no longer lists', () => {
  /** Observes answers in turn; each is requested after the one before was received. */
  function observeAnswers(
    answers: (Pick<MemberObservation, 'isPrimary' | 'term'> & {
      requestedAt: number;
      index: number;
    })[],
    isRegistered = true,
  ) {
    const members = createDepartedMembers({
      settlingTime: SETTLING_MILLISECONDS,
      timeout: TIMEOUT_MILLISECONDS,
    });
    let sequence = 0;
    const takeNextSequenceNumber = () => {
      sequence += 1;
      return sequence;
    };
    members.recordDeparture(departed, 100);
    for (const { index, requestedAt, ...answer } of answers) {
      const position = { term: answer.term, index };
      const observation = {
        ...answer,
        requestedAt: { monotonic: requestedAt, wall: requestedAt },
        memberId: answer.isPrimary ? 'primary' : 'lagging',
        requestSequenceNumber: takeNextSequenceNumber(),
        position,
        applied: position,
      };
      const observed = { memberId: observation.memberId };
      members.observe(observation, { observed, isRegistered, takeNextSequenceNumber });
    }
    return members;
  }

  const primaryAnswer = { requestedAt: 200, isPrimary: true, term: 1, index: 9 };
  const replicaAnswer = { requestedAt: 200, isPrimary: false, term: 1, index: 9 };

  it.each([
    ['a replica holds the log end of the primary', [primaryAnswer, replicaAnswer], true],
    ['the replica lags', [primaryAnswer, { ...replicaAnswer, index: 8 }], false],
    ['the replica was asked before the primary answered', [replicaAnswer, primaryAnswer], false],
    [
      'the primary was asked before the departure',
      [{ ...primaryAnswer, requestedAt: 99 }, replicaAnswer],
      false,
    ],
    ['the primary has been replaced', [primaryAnswer, { ...replicaAnswer, term: 2 }], false],
    [
      'the replica catches up with a later primary',
      [
        primaryAnswer,
        { ...primaryAnswer, term: 2, index: 4 },
        { ...replicaAnswer, term: 2, index: 4 },
      ],
      true,
    ],
  ])('is covered or not: %s', (_, answers, isCovered) => {
    // Guards against taking commits that it alone confirmed for those of others.
    expect(observeAnswers(answers).isCovered(departed, [])).toBe(isCovered);
  });

  it('is covered by a member that is not registered only while that is present', () => {
    // Guards against a promotion without the commits that both held, since nobody misses the other.
    const members = observeAnswers([primaryAnswer, replicaAnswer], false);
    expect(members.isCovered(departed, [{ memberId: 'lagging' }])).toBe(true);
    expect(members.isCovered(departed, [{ memberId: 'other' }])).toBe(false);
  });

  it('is settled by what is requested once no instance counts its word', () => {
    // Guards against a commit that an instance with an old directory lets it confirm afterwards.
    const early = observeAnswers([primaryAnswer, replicaAnswer]);
    expect(early.isSettled(departed)).toBe(false);
    expect(early.isCoveredForGood(departed, [])).toBe(false);
    const requestedAt = 100 + SETTLING_MILLISECONDS;
    const answers = [primaryAnswer, replicaAnswer].map((answer) => ({ ...answer, requestedAt }));
    expect(observeAnswers(answers).isSettled(departed)).toBe(true);
    expect(observeAnswers(answers).isCoveredForGood(departed, [])).toBe(true);
  });

  it('is covered for good by a member that is not registered only while that is present', () => {
    // Guards against a promotion without the commits that both held, since nobody misses the other.
    const requestedAt = 100 + SETTLING_MILLISECONDS;
    const answers = [primaryAnswer, replicaAnswer].map((answer) => ({ ...answer, requestedAt }));
    const members = observeAnswers(answers, false);
    expect(members.isCoveredForGood(departed, [{ memberId: 'lagging' }])).toBe(true);
    expect(members.isCoveredForGood(departed, [{ memberId: 'other' }])).toBe(false);
  });

  it('is counted by nobody after a while, and awaited for longer', () => {
    const members = observeAnswers([]);
    const isUncounted = (now: number) => members.isUncounted(departed, now);
    const isTimedOut = (now: number) => members.isTimedOut(departed, now);
    expect([isUncounted, isTimedOut].map((is) => is(99 + SETTLING_MILLISECONDS))).toEqual([
      false,
      false,
    ]);
    expect([isUncounted, isTimedOut].map((is) => is(100 + SETTLING_MILLISECONDS))).toEqual([
      true,
      false,
    ]);
    expect(isTimedOut(100 + TIMEOUT_MILLISECONDS)).toBe(true);
    members.recordEnd(departed, 101);
    expect(isUncounted(102)).toBe(true);
  });

  it('is settled by a coverage that was requested once its process had ended', () => {
    // Guards against commits that it confirmed between its departure and its end.
    const members = observeAnswers([primaryAnswer, replicaAnswer]);
    members.recordEnd(departed, 300);
    expect(members.isSettled(departed)).toBe(false);
    let sequence = 100;
    const takeNextSequenceNumber = () => {
      sequence += 1;
      return sequence;
    };
    for (const { index, ...answer } of [primaryAnswer, replicaAnswer]) {
      const position = { term: answer.term, index };
      const memberId = answer.isPrimary ? 'primary' : 'lagging';
      members.observe(
        {
          ...answer,
          requestedAt: { monotonic: 300, wall: 300 },
          memberId,
          requestSequenceNumber: takeNextSequenceNumber(),
          position,
          applied: position,
        },
        { observed: { memberId }, isRegistered: true, takeNextSequenceNumber },
      );
    }
    expect(members.isSettled(departed)).toBe(true);
  });

  it('stays registered while only members that are not hold what it confirmed', () => {
    // Guards against an instance that starts later and misses neither it nor them.
    const requestedAt = 100 + SETTLING_MILLISECONDS;
    const answers = [primaryAnswer, replicaAnswer].map((answer) => ({ ...answer, requestedAt }));
    const members = observeAnswers(answers, false);
    expect([members.isSettled(departed), members.isRemovable(departed)]).toEqual([true, false]);
    expect(observeAnswers(answers).isRemovable(departed)).toBe(true);
  });

  it('is tracked anew after it was listed again', () => {
    // Guards against a coverage from before the member confirmed further commits.
    const members = observeAnswers([primaryAnswer, replicaAnswer]);
    members.retain([]);
    members.recordDeparture(departed, 300);
    expect(members.isCovered(departed, [])).toBe(false);
  });
});
