import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createProcessClock } from '../index';
import type { Clock, DirectoryEntry } from '../index';
import { createDirectoryEntry, startTestGateway } from './testGateway';

type TestGateway = ReturnType<typeof startTestGateway>;

/** Time after which a member that joined is registered. */
const REGISTRATION_MILLISECONDS = 4_500;

/** Time after which every instance that relies on its directory knows a member. */
const SETTLING_MILLISECONDS = 11_500;

/** Time after which no instance counts the word of a member that is not listed. */
const DEPARTURE_SETTLING_MILLISECONDS = 4_500;

/** Time after which a departed member that may alone hold commits is given up. */
const DEPARTURE_TIMEOUT_MILLISECONDS = 13_500;

const createEntry = (number: number, changes: Partial<DirectoryEntry> = {}) =>
  createDirectoryEntry({
    memberId: `db-${number}`,
    address: `db-${number}:1`,
    isPrimary: number === 1,
    createdRevision: number,
    ...changes,
  });

const [primary, copy, lagging, joined] = [1, 2, 3, 4].map((number) => createEntry(number));

const registered = [1, 2, 3].map((number) => ({
  memberId: `db-${number}`,
  startedAt: 1,
  createdRevision: number,
}));

let gateway: TestGateway;
let indexes: Record<string, number>;
/** Milliseconds by which the time of day is ahead of the timers. */
let wallLead: number;

function createSuspendableClock(): Clock {
  const clock = createProcessClock();
  return {
    ...clock,
    readClocks: () => {
      const { monotonic, wall } = clock.readClocks();
      return { monotonic, wall: wall + wallLead };
    },
  };
}

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

/** Keeps the directory up to date for some time. */
async function listFor(milliseconds: number, entries: DirectoryEntry[]): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 500) {
    gateway.updateMembers(entries);
    await settle(Math.min(500, milliseconds - passed));
  }
}

async function write(): Promise<ReturnType<TestGateway['openSession']>> {
  const session = gateway.openSession();
  session.write('w');
  await settle();
  for (const { answer } of gateway.forwarded.splice(0)) answer();
  await settle(1_000);
  return session;
}

/** Reads data of a stated age and returns the ids of members that can answer with less than `index`. */
async function readBelow(index: number): Promise<string[]> {
  gateway.forwarded.splice(0);
  gateway.openSession().read('bounded-read');
  await settle(1_000);
  return gateway.forwarded
    .filter(({ after }) => !after || after.index < index)
    .map(({ memberId }) => memberId);
}

const getRegisteredIds = () =>
  gateway.memberRegisters.current?.record.members.map(({ memberId }) => memberId);

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  indexes = { 'db-1': 23, 'db-2': 23, 'db-3': 21, 'db-4': 20 };
  wallLead = 0;
  gateway = startTestGateway({
    clock: createSuspendableClock(),
    getPosition: (memberId) => ({ term: 1, index: indexes[memberId]! }),
    changes: { consistency: 'boundedStaleness', maximumStaleness: 1_500 },
  });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

describe('a member that joins', () => {
  it('is registered once all instances know it', async () => {
    // Guards against a commit on a member that an instance with an older directory does not miss.
    await listFor(1_000, [primary!, lagging!]);
    await listFor(REGISTRATION_MILLISECONDS - 500, [primary!, lagging!, copy!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-3']);
    await listFor(2_000, [primary!, lagging!, copy!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-3', 'db-2']);
  });

  it('is not registered while the directory, read again, does not list it', async () => {
    // Guards against registering a member whose departure other instances track already.
    await listFor(1_000, [primary!, lagging!]);
    gateway.setEntriesAtRefresh([primary!, lagging!]);
    await listFor(REGISTRATION_MILLISECONDS + 2_000, [primary!, lagging!, copy!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-3']);
  });

  it('confirms no commit alone before it is registered', async () => {
    // Guards against a commit on a member that an instance with an older directory does not miss.
    await listFor(1_000, [primary!, lagging!]);
    await listFor(2_000, [primary!, lagging!, copy!]);
    expect((await write()).answers).toEqual([]);
    await listFor(REGISTRATION_MILLISECONDS, [primary!, lagging!, copy!]);
    expect((await write()).answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it('is not replaced as a primary whose commits a replica holds', async () => {
    // Guards against a promotion because the register does not hold the primary yet.
    const returned = { ...joined!, address: primary!.address, isPrimary: true };
    indexes['db-4'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-1');
    await listFor(3_000, [copy!, lagging!, returned]);
    expect((await write()).answers).toEqual([]);
    await listFor(1_000, [copy!, lagging!, returned]);
    expect(gateway.orders).toEqual([]);
  });

  it('confirms commits at once together with all others', async () => {
    // Guards against refusing writes for seconds after each change of members.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, lagging!]);
    await listFor(3_300, [primary!, lagging!, copy!]);
    expect((await write()).answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it('confirms no commit with the primary alone while another member is only missing', async () => {
    // Guards against a commit on members that an instance with an older directory does not list.
    await listFor(1_000, [primary!, lagging!]);
    gateway.silence('db-3');
    await listFor(3_300, [primary!, copy!]);
    expect((await write()).answers).toEqual([]);
  });

  it('does not answer for one that left', async () => {
    // Guards against counting answers in place of the members that confirmed the commits.
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-2');
    gateway.silence('db-1');
    await listFor(5_000, [primary!, lagging!, joined!]);
    expect(await readBelow(23)).toEqual([]);
  });
});

describe('a member that starts again under its id', () => {
  it('does not answer for its former life', async () => {
    // Guards against a read position from a member that holds and knows nothing of before.
    await listFor(1_000, [primary!, copy!, lagging!]);
    indexes['db-2'] = 1;
    gateway.silence('db-1');
    await listFor(5_000, [primary!, createEntry(2, { startedAt: 2 }), lagging!]);
    expect(await readBelow(23)).toEqual([]);
  });

  it('is not awaited once another member holds what it confirmed', async () => {
    // Guards against refusing reads for longer than the former process can confirm anything.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(5_000, [primary!, createEntry(2, { startedAt: 2 }), lagging!]);
    gateway.silence('db-1');
    await settle(2_000);
    expect(await readBelow(Infinity)).not.toEqual([]);
  });
});

describe('a member that is listed again', () => {
  it('confirms no commit alone before other instances list it', async () => {
    // Guards against a register that was read before the member was taken off.
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(4_000, [primary!, lagging!]);
    await listFor(1_500, [primary!, createEntry(2, { createdRevision: 12 }), lagging!]);
    expect((await write()).answers).toEqual([]);
    await listFor(4_500, [primary!, createEntry(2, { createdRevision: 12 }), lagging!]);
    expect((await write()).answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it('confirms none alone either when the register is read for another member', async () => {
    // Guards against counting every listed member that a register contains when it is read or replaced.
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(3_500, [primary!, lagging!, joined!]);
    const entries = [primary!, createEntry(2, { createdRevision: 12 }), lagging!, joined!];
    await listFor(3_300, entries);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-2', 'db-3', 'db-4']);
    expect((await write()).answers).toEqual([]);
    await listFor(REGISTRATION_MILLISECONDS, entries);
    expect((await write()).answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it('confirms no commit alone at an instance that starts just then', async () => {
    // Guards against a member that an instance with an older directory takes off meanwhile.
    gateway.memberRegisters.current = { record: { members: registered }, revision: 7 };
    const entries = [primary!, createEntry(2, { createdRevision: 12 }), lagging!];
    await listFor(1_500, entries);
    expect((await write()).answers).toEqual([]);
    await listFor(4_500, entries);
    expect((await write()).answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it('is not taken off for its former entry', async () => {
    // Guards against a member that counts elsewhere, and that the register does not name.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(DEPARTURE_SETTLING_MILLISECONDS - 500, [primary!, lagging!]);
    const listedAgain = { ...registered[1]!, createdRevision: 12 };
    const members = [registered[0]!, listedAgain, registered[2]!];
    gateway.memberRegisters.current = { record: { members }, revision: 7 };
    await listFor(4_000, [primary!, lagging!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-2', 'db-3']);
  });
});

describe('a member that was listed again without this instance knowing it', () => {
  it('is not taken off the register, by which other instances count it', async () => {
    // Guards against a removal by a directory from before other instances wait for 4.5 s.
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(DEPARTURE_SETTLING_MILLISECONDS, [primary!, lagging!]);
    const entries = [primary!, createEntry(2, { createdRevision: 12 }), lagging!];
    gateway.setEntriesAtRefresh(entries);
    await settle(REGISTRATION_MILLISECONDS + 500);
    indexes['db-3'] = 23;
    await settle(2_500);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-2', 'db-3']);
  });
});

describe('a missing member at an instance that is suspended', () => {
  /** Replicates a write and lists `remaining` until others no longer wait for the missing member. */
  async function missWhileSuspended(
    remaining: DirectoryEntry[],
    { lateness, suspension }: { lateness: number; suspension: number },
  ): Promise<void> {
    await write();
    await settle(lateness);
    for (let count = 0; count < 4; count += 1) {
      gateway.updateMembers(remaining);
      await settle(500);
      wallLead += suspension;
    }
  }

  const cases = [
    { lateness: 8_000, suspension: 950 },
    { lateness: 6_000, suspension: 1_200 },
    { lateness: 500, suspension: 600 },
  ];

  it.each(cases)(
    'counts no longer than other instances wait for, $suspension ms',
    async (times) => {
      // Guards against a retention by a clock that stands still: others have given the member up.
      await listFor(1_000, [primary!, copy!, lagging!]);
      await missWhileSuspended([primary!, lagging!], times);
      gateway.memberRegisters.current = {
        record: { members: [registered[0]!, registered[2]!] },
        revision: 7,
      };
      gateway.updateMembers([primary!, createEntry(2, { createdRevision: 12 }), lagging!]);
      expect((await write()).answers).toEqual([]);
    },
  );

  it.each(cases)('is not all that others wait for, $suspension ms', async (times) => {
    // Guards against a commit held by all known members, one of which others have given up.
    await listFor(1_000, [primary!, copy!]);
    await missWhileSuspended([primary!], times);
    expect((await write()).answers).toEqual([]);
  });
});

describe('a primary that is not registered', () => {
  it('has no commit confirmed by one replica', async () => {
    // Guards against a commit that only one registered member holds.
    indexes['db-4'] = 23;
    await listFor(1_000, [copy!, lagging!]);
    await listFor(3_300, [createEntry(4, { isPrimary: true }), copy!, lagging!]);
    expect((await write()).answers).toEqual([]);
  });
});

describe('a member that departed', () => {
  it('is taken off the register once others hold what it confirmed', async () => {
    // Guards against refusing reads without the primary for good after each departure.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(DEPARTURE_SETTLING_MILLISECONDS, [primary!, lagging!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-2', 'db-3']);
    await listFor(4_000, [primary!, lagging!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-3']);
    gateway.silence('db-1');
    expect(await readBelow(Infinity)).not.toEqual([]);
  });

  it('stays registered while no other member holds what it confirmed', async () => {
    // Guards against forgetting the commits that it alone held.
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(DEPARTURE_TIMEOUT_MILLISECONDS + 4_000, [primary!, lagging!]);
    expect(getRegisteredIds()).toEqual(['db-1', 'db-2', 'db-3']);
  });

  it('is missed by an instance that starts later', async () => {
    // Guards against a position learned by an instance that never listed the member.
    gateway.memberRegisters.current = { record: { members: registered }, revision: 7 };
    gateway.silence('db-1');
    await listFor(2_000, [primary!, lagging!]);
    expect(await readBelow(23)).toEqual([]);
  });

  it.each([
    { index: 21, orders: [], name: 'no replica is promoted before 13.5 s while it may hold more' },
    { index: 23, orders: ['db-3'], name: 'a replica is promoted that was seen to hold as much' },
  ])('and a primary that crashes: $name', async ({ index, orders }) => {
    // Guards against losing commits that only departed members hold, and against waiting without need.
    indexes['db-3'] = index;
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(4_000, [primary!, lagging!]);
    gateway.silence('db-1');
    await listFor(3_000, [primary!, lagging!]);
    await listFor(5_000, [lagging!]);
    expect(gateway.orders).toEqual(orders);
  });

  it('is awaited by a promotion from the moment at which its entry is missing', async () => {
    // Guards against passing over a member whose entry lapses while it is busy.
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-1');
    gateway.silence('db-2');
    gateway.openSession().write('lost');
    await listFor(4_500, [primary!, copy!, lagging!]);
    await listFor(2_000, [primary!, lagging!]);
    expect(gateway.events).not.toContain('memberGone');
    expect(gateway.events).toContain('promotionDeferred');
    expect(gateway.countCommands('db-3', 'pause')).toBe(0);
    expect(gateway.orders).toEqual([]);
  });

  it.each([
    { name: 'names it by then', fails: false, orders: [] },
    { name: 'cannot be read', fails: true, orders: [] },
    { name: 'names no other', fails: false, members: registered, orders: ['db-2'] },
  ])(
    'is missed by a promotion according to the register under the claim: it $name',
    async ({ fails, members, orders }) => {
      // Guards against a promotion by a register from before another instance changed it.
      await listFor(1_000, [primary!, copy!, lagging!]);
      const all = [...registered, { memberId: 'db-4', startedAt: 1, createdRevision: 4 }];
      gateway.memberRegisters.current = { record: { members: members ?? all }, revision: 7 };
      if (fails) vi.spyOn(gateway.memberRegisters, 'read').mockRejectedValue(new Error('away'));
      gateway.silence('db-1');
      await listFor(6_000, [copy!, lagging!]);
      expect(gateway.orders).toEqual(orders);
    },
  );

  it('is given up by a promotion after 13.5 s', async () => {
    // Guards against a group that waits for good for a member that does not come back.
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-1');
    await listFor(DEPARTURE_TIMEOUT_MILLISECONDS, [lagging!]);
    expect(gateway.orders).toEqual([]);
    await listFor(4_000, [lagging!]);
    expect(gateway.orders).toEqual(['db-3']);
    expect(gateway.events).toContain('departedMembersGivenUp');
  });
});

describe('a departed member that may still run', () => {
  const leaving = createEntry(1, { isLeaving: true, revision: 9 });

  /** Lists all members, then all but one, which is dropped; the others hold what it confirmed. */
  async function dropCopy(): Promise<void> {
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    await listFor(3_100, [primary!, lagging!]);
    expect(gateway.events).toContain('memberGone');
  }

  it('is paused before another replica is promoted', async () => {
    // Guards against commits that it confirms for an instance which still lists it.
    await dropCopy();
    gateway.onOrdered(() => expect(gateway.countCommands('db-2', 'pause')).toBe(1));
    await listFor(1_000, [leaving, lagging!]);
    expect(gateway.orders).toEqual(['db-3']);
  });

  it('is paused before the listed replicas', async () => {
    // Guards against a promotion that fails because the departed member received more in between.
    await dropCopy();
    gateway.holdAnswers('pause');
    await listFor(300, [leaving, lagging!]);
    expect(['db-2', 'db-3'].map((id) => gateway.countCommands(id, 'pause'))).toEqual([1, 0]);
  });

  it('is awaited out of reach while an instance may count its word, and no longer', async () => {
    // Guards against such commits, and against a leaving primary that ends without a successor.
    await dropCopy();
    gateway.silence('db-2');
    await listFor(1_300, [leaving, lagging!]);
    expect(gateway.events).toContain('promotionDeferred');
    expect(gateway.orders).toEqual([]);
    await listFor(2_500, [leaving, lagging!]);
    expect(gateway.orders).toEqual(['db-3']);
  });

  it('is paused when it is listed again before the order', async () => {
    // Guards against commits that it confirms by its former entry while the order is pending.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-2');
    await listFor(1_000, [primary!, lagging!]);
    await listFor(1_000, [leaving, lagging!]);
    expect(gateway.orders).toEqual([]);
    gateway.wake('db-2');
    await listFor(1_500, [leaving, createEntry(2, { createdRevision: 12 }), lagging!]);
    expect(gateway.countCommands('db-2', 'pause')).toBe(1);
    expect(gateway.orders).toHaveLength(1);
  });

  it('has its log compared with that of the others', async () => {
    // Guards against a promotion without commits that only it and the primary hold.
    await dropCopy();
    indexes['db-2'] = 24;
    await listFor(1_000, [leaving, lagging!]);
    expect(gateway.orders).toEqual([]);
    const pauses = gateway.countCommands('db-2', 'pause');
    expect(pauses).toBeGreaterThan(0);
    expect(gateway.countCommands('db-2', 'resume')).toBe(pauses);
  });

  it('is not awaited for longer than others count it if the primary is lost', async () => {
    // Guards against a group that stays without a primary because a lost replica does not come back.
    await dropCopy();
    gateway.silence('db-2');
    gateway.silence('db-1');
    await listFor(1_300, [leaving, lagging!]);
    expect(gateway.events).toContain('promotionDeferred');
    expect(gateway.orders).toEqual([]);
    await listFor(3_000, [leaving, lagging!]);
    expect(gateway.orders).toEqual(['db-3']);
  });

  it('is awaited although the primary, which was dropped as well, answers', async () => {
    // Guards against taking a primary that still leads for one that is paused or lost.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-2');
    await listFor(2_000, [primary!, lagging!]);
    await listFor(7_000, [lagging!]);
    expect(gateway.events).toContain('promotionDeferred');
    expect(gateway.orders).toEqual([]);
  });

  it('is not asked again once it is given up', async () => {
    // Guards against connections to machines that are gone, for good.
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-2');
    await listFor(DEPARTURE_TIMEOUT_MILLISECONDS + 500, [primary!, lagging!]);
    const before = gateway.countCommands('db-2', 'status');
    await listFor(3_000, [leaving, lagging!]);
    expect(gateway.orders).toEqual(['db-3']);
    expect(gateway.countCommands('db-2', 'status')).toBe(before);
  });
});

describe('an instance that does not hear of changes of the directory', () => {
  it.each([
    { name: 'the only other member', listed: [primary!, copy!], expected: [] },
    {
      name: 'two others',
      listed: [primary!, copy!, lagging!],
      expected: [{ outcome: 'completed' }],
    },
  ])('takes $name for all others or not', async ({ listed, expected }) => {
    // Guards against a commit on two members while others promote one that joined since.
    indexes['db-3'] = 23;
    await listFor(1_000, listed);
    await settle(5_000);
    expect((await write()).answers).toMatchObject(expected);
  });
});

describe('members that were all replaced in turn', () => {
  it('do not defer the promotion of one of their successors', async () => {
    // Guards against a group without a primary until its new members are registered.
    indexes = { 'db-1': 23, 'db-2': 23, 'db-3': 23, 'db-4': 23, 'db-5': 23, 'db-6': 23 };
    await listFor(1_000, [primary!, copy!, lagging!]);
    const [first, second, third] = [4, 5, 6].map((number) =>
      createEntry(number, { address: `db-${number - 3}:1`, isPrimary: number === 4 }),
    );
    await listFor(5_000, [first!, second!, third!]);
    gateway.silence('db-4');
    gateway.openSession().write('lost');
    await listFor(6_500, [first!, second!, third!]);
    await listFor(3_000, [second!, third!]);
    expect(gateway.orders).toEqual(['db-5']);
  });
});

describe('an instance whose directory is too old', () => {
  it('learns no position without the primary', async () => {
    // Guards against a commit on a member that joined and was registered meanwhile.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-1');
    await settle(3_000);
    expect(await readBelow(Infinity)).toEqual([]);
  });

  it('reads the register again once its directory is up to date', async () => {
    // Guards against missing a member that was listed, registered and gone in between.
    await listFor(1_000, [primary!, lagging!]);
    await settle(6_000);
    gateway.memberRegisters.current = { record: { members: registered }, revision: 7 };
    gateway.silence('db-1');
    await listFor(500, [primary!, lagging!]);
    expect(await readBelow(23)).toEqual([]);
  });

  it('reads it again first', async () => {
    // Guards against refusing reads because nothing has changed for a while.
    indexes['db-3'] = 23;
    await listFor(1_000, [primary!, copy!, lagging!]);
    gateway.silence('db-1');
    await settle(3_000);
    gateway.setEntriesAtRefresh([primary!, copy!, lagging!]);
    expect(await readBelow(Infinity)).not.toEqual([]);
  });
});

describe('members that lapsed while another instance relied on the primary alone', () => {
  /** Lists the replicas anew after another instance has named the primary, which has committed more. */
  async function returnFromLapse(): Promise<DirectoryEntry[]> {
    indexes = { 'db-1': 5, 'db-2': 5, 'db-3': 5 };
    await listFor(SETTLING_MILLISECONDS + 500, [primary!, copy!, lagging!]);
    await write();
    await listFor(2_300, [primary!]);
    gateway.store.current = {
      record: { holder: 'instance-2', token: 0, isClaimed: false, soleMemberId: 'db-1' },
      revision: 20,
    };
    indexes['db-1'] = 9;
    gateway.silence('db-1');
    const replicas = [2, 3].map((number) => createEntry(number, { createdRevision: number + 10 }));
    const entries = [primary!, ...replicas];
    await listFor(1_600, entries);
    return entries;
  }

  it('answer for none of its commits', async () => {
    // Guards against a proof of replication from before the lapse.
    await returnFromLapse();
    expect(await readBelow(9)).toEqual([]);
  });

  it('are not promoted while it is listed', async () => {
    // Guards against losing commits that another instance acknowledged on the primary alone.
    const entries = await returnFromLapse();
    gateway.openSession().write('w');
    await listFor(6_000, entries);
    expect(gateway.orders).toEqual([]);
  });
});
