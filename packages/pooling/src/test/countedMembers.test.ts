import { describe, expect, it } from 'vitest';
import {
  assessPromotionCoverage,
  createKnownMembers,
  createRecentListings,
  planRegisterUpdate,
} from '../index';
import type { ListedMember } from '../index';

const createMember = (changes: Partial<ListedMember> = {}): ListedMember => ({
  memberId: 'copy',
  address: 'copy:1',
  startedAt: 1,
  createdRevision: 5,
  ...changes,
});

const copy = createMember();
const primary = createMember({ memberId: 'primary', address: 'primary:1' });
const listedAgain = createMember({ createdRevision: 12 });

describe('the word of a member', () => {
  const listedAt = { monotonic: 0, wall: 0 };
  const isCounted = (
    listed: ListedMember,
    member: ListedMember,
    { names = copy, monotonic = 3_999, wall = 3_999 } = {},
  ) => {
    const listings = createRecentListings();
    listings.record([listed], listedAt);
    return listings.isCounted(member, { register: { members: [names] }, now: { monotonic, wall } });
  };

  it.each([
    ['the register names its entry', copy, copy, {}, true],
    ['the named entry was listed before its present one', copy, listedAgain, {}, true],
    ['the register names a former entry', listedAgain, listedAgain, {}, false],
    ['the entry was listed too long ago', copy, copy, { monotonic: 4_000 }, false],
    ['the machine was suspended since', copy, copy, { wall: 4_000 }, false],
    ['its process has started again', copy, createMember({ startedAt: 2 }), {}, false],
    [
      'its process has moved and tells no start time',
      createMember({ startedAt: undefined }),
      createMember({ startedAt: undefined, address: 'other:1' }),
      { names: createMember({ startedAt: undefined }) },
      false,
    ],
  ])('counts or not: %s', (_, listed, member, options, expected) => {
    // Guards against a commit on a member that another instance may have taken off the register.
    expect(isCounted(listed, member, options)).toBe(expected);
  });

  it('does not count by an entry from before the member was dropped', () => {
    // Guards against a commit on a member that other instances do not list yet.
    const listings = createRecentListings();
    listings.record([copy], listedAt);
    listings.retain(() => false);
    listings.record([listedAgain], listedAt);
    const options = { register: { members: [copy] }, now: listedAt };
    expect(listings.isCounted(listedAgain, options)).toBe(false);
  });
});

describe('the departure of a member', () => {
  /** Lists members in turn, and observes that a replica holds the log end of the primary. */
  function createDeparture(present: ListedMember[], registered = [copy, primary]) {
    const known = createKnownMembers();
    known.update({ present: [copy, primary], register: { members: registered } }, 0);
    known.update({ present, register: { members: registered } }, 100);
    let sequence = 0;
    const takeNextSequenceNumber = () => {
      sequence += 1;
      return sequence;
    };
    for (const isPrimary of [true, false]) {
      const position = { term: 1, index: 9 };
      const requestedAt = { monotonic: 200, wall: 200 };
      const answer = { memberId: 'any', isPrimary, term: 1, position, applied: position };
      const requestSequenceNumber = takeNextSequenceNumber();
      const observation = { ...answer, requestedAt, requestSequenceNumber };
      const observed = { memberId: answer.memberId };
      known.departures.observe(observation, {
        observed,
        isRegistered: true,
        takeNextSequenceNumber,
      });
    }
    return known;
  }

  it.each([
    ['no other is listed', [primary], false],
    ['one starts under its id', [primary, createMember({ startedAt: 2, address: 'b:1' })], true],
    ['one starts at its address', [primary, createMember({ memberId: 'joined' })], true],
    ['another member joins', [primary, createMember({ memberId: 'b', address: 'b:1' })], false],
  ])('ends its process or not: %s', (_, present, isEnded) => {
    // Guards against words of a process that still runs, and against waiting for one that does not.
    expect(createDeparture(present).departures.isRemovable(copy)).toBe(isEnded);
  });

  it('is that of one entry', () => {
    // Guards against a coverage from before the member was listed and registered again.
    const known = createDeparture([primary]);
    expect(known.departures.isCovered(copy, [])).toBe(true);
    known.update({ present: [primary], register: { members: [listedAgain, primary] } }, 300);
    expect(known.departures.isCovered(listedAgain, [])).toBe(false);
    expect(known.departures.list()).toEqual([listedAgain]);
    known.update({ present: [primary, listedAgain], register: undefined }, 400);
    expect(known.departures.list()).toEqual([]);
  });

  it('is forgotten once it is settled and the register does not name the member', () => {
    // Guards against missing members for good, and against forgetting those that others count.
    const present = [primary, createMember({ memberId: 'joined' })];
    const known = createDeparture(present);
    known.dropSettled();
    expect(known.listRequired()).toContainEqual(copy);
    known.update({ present, register: { members: [primary] } }, 300);
    expect(known.listRequired()).not.toContainEqual(copy);
    known.dropSettled();
    known.update({ present, register: { members: [primary] } }, 400);
    expect(known.list()).toHaveLength(2);
  });
});

describe('a register', () => {
  const isRemovable = () => false;

  it.each([
    [
      'names a new entry in place of the former one',
      [copy, primary],
      [listedAgain],
      [primary, listedAgain],
    ],
    [
      'names another life beside the former one',
      [copy],
      [createMember({ startedAt: 2 })],
      [copy, createMember({ startedAt: 2 })],
    ],
    ['is left alone when it names all', [copy, primary], [primary], undefined],
  ])('%s', (_, registered, addable, members) => {
    // Guards against forgetting a life that may alone hold commits.
    expect(planRegisterUpdate({ registered, addable, isRemovable })?.next.members).toEqual(members);
  });
});

describe('a promotion from the members that were paused', () => {
  const paused = ['b', 'c'].map((memberId) => createMember({ memberId }));
  const three = [copy, primary, ...paused];

  /** What is known of the departure of `copy`. */
  type Departure = 'isCovered' | 'isCoveredForGood' | 'isUncounted' | 'isTimedOut';

  it.each<[string, ListedMember[], Departure[], boolean, string]>([
    ['one is missing', [copy, ...paused], [], true, 'covered'],
    ['two are missing', three, [], false, 'deferred'],
    ['one of two is covered, and may confirm more', three, ['isCovered'], false, 'deferred'],
    ['one of two is covered for good', three, ['isCoveredForGood'], true, 'covered'],
    ['one of two confirms nothing more', three, ['isUncounted'], false, 'deferred'],
    [
      'one of two confirms nothing more and was covered, and the primary is lost',
      three,
      ['isCovered', 'isUncounted'],
      false,
      'givenUp',
    ],
    [
      'one of two confirms nothing more and was covered, and the primary answers',
      three,
      ['isCovered', 'isUncounted'],
      true,
      'deferred',
    ],
    ['one of two has timed out', three, ['isUncounted', 'isTimedOut'], true, 'givenUp'],
  ])('is decided: %s', (_, registered, known, isPrimaryResponsive, type) => {
    // Guards against losing commits that a missing member confirms, and against waiting for good.
    const isKnown = (name: Departure) => (member: { memberId: string }) =>
      member.memberId === copy.memberId && known.includes(name);
    const departures = {
      isCovered: isKnown('isCovered'),
      isCoveredForGood: isKnown('isCoveredForGood'),
      isUncounted: isKnown('isUncounted'),
      isTimedOut: isKnown('isTimedOut'),
    };
    const coverage = assessPromotionCoverage({
      registered,
      paused,
      isPrimaryResponsive,
      departures,
      now: 0,
    });
    expect(coverage.type).toBe(type);
  });
});
