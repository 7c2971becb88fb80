import type { PromotionRecord } from '@wisterialift/pooling';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { chooseFencedCandidate } from '../lib/promotion/soleMemberFence';
import { createDirectoryEntry, startTestGateway } from './testGateway';

type TestGateway = ReturnType<typeof startTestGateway>;

/** Longest age of a directory on which an instance relies to list every member. */
const DIRECTORY_VALIDITY_MILLISECONDS = 10_000;

/** Time after which all instances know a member that joined. */
const SETTLING_MILLISECONDS = 11_500;

/** Time after which a claim that nobody released may be taken over. */
const CLAIM_TAKEOVER_MILLISECONDS = 2_200;

const soleEntry = createDirectoryEntry({ createdRevision: 1 });
const joinedEntry = createDirectoryEntry({
  memberId: 'db-2',
  address: 'db-2:1',
  isPrimary: false,
  createdRevision: 2,
});

const unclaimed: PromotionRecord = { holder: 'instance-2', token: 3, isClaimed: false };

let gateway: TestGateway;

/** Terms and log ends of the members, by name. */
let positions: Record<string, { term: number; index: number }>;

const settle = () => vi.advanceTimersByTimeAsync(1);

/** Lets the primary answer every statement that was forwarded. */
async function answerForwarded(): Promise<void> {
  for (const { answer } of gateway.forwarded.splice(0)) answer();
  await vi.advanceTimersByTimeAsync(100);
}

async function write(id: string) {
  const session = gateway.openSession();
  session.write(id);
  await settle();
  await answerForwarded();
  return session;
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  positions = { 'db-1': { term: 1, index: 5 }, 'db-2': { term: 1, index: 5 } };
  gateway = startTestGateway({ getPosition: (memberId) => positions[memberId]! });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

describe('the only member of a group', () => {
  it('is named in the promotion record before a write rests on it', async () => {
    // Guards against a promotion that does not know that instances rely on the member alone.
    gateway.updateMembers([soleEntry]);
    const { answers } = await write('w');
    expect(answers).toMatchObject([{ outcome: 'completed' }]);
    expect(gateway.store.current?.record.soleMemberId).toBe('db-1');
  });

  it('is not named while another instance may be promoting', async () => {
    // Guards against acknowledging a write whose primary is about to be replaced.
    gateway.store.current = { record: { ...unclaimed, isClaimed: true }, revision: 7 };
    gateway.updateMembers([soleEntry]);
    const { answers } = await write('w');
    await vi.advanceTimersByTimeAsync(CLAIM_TAKEOVER_MILLISECONDS - 300);
    expect(answers).toEqual([]);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(answers).toMatchObject([{ outcome: 'completed' }]);
  });

  it('is not named if the directory, read again, lists another member', async () => {
    // Guards against a member that joined and was promoted before this instance heard of it.
    gateway.setEntriesAtRefresh([soleEntry, { ...joinedEntry, isPrimary: true }]);
    positions['db-2'] = { term: 2, index: 5 };
    gateway.updateMembers([soleEntry]);
    await write('w');
    expect(gateway.store.current).toBeUndefined();
  });

  it('is named anew for each term that it leads', async () => {
    // Guards against relying on a name that a promotion in between has taken off the record.
    gateway.updateMembers([soleEntry]);
    await write('first');
    positions['db-1'] = { term: 3, index: 9 };
    gateway.store.current = { record: unclaimed, revision: 20 };
    const { answers } = await write('second');
    expect(answers).toMatchObject([{ outcome: 'completed' }]);
    expect(gateway.store.current.record.soleMemberId).toBe('db-1');
  });

  it('is named anew after another member was listed', async () => {
    // Guards against relying on a name that was taken off the record while the group was larger.
    gateway.updateMembers([soleEntry]);
    await write('first');
    gateway.updateMembers([soleEntry, joinedEntry]);
    await vi.advanceTimersByTimeAsync(1_000);
    gateway.store.current = { record: unclaimed, revision: 20 };
    gateway.updateMembers([soleEntry]);
    await vi.advanceTimersByTimeAsync(3_500);
    await write('second');
    expect(gateway.store.current.record.soleMemberId).toBe('db-1');
  });

  it('is named anew after the directory was too old', async () => {
    // Guards against a member that joined and left while this instance heard nothing.
    gateway.updateMembers([soleEntry]);
    await write('first');
    await vi.advanceTimersByTimeAsync(DIRECTORY_VALIDITY_MILLISECONDS + 600);
    gateway.store.current = { record: unclaimed, revision: 20 };
    gateway.updateMembers([soleEntry]);
    await write('second');
    expect(gateway.store.current.record.soleMemberId).toBe('db-1');
  });

  it.each(['read', 'write'] as const)(
    'gets no %s from an instance whose directory is too old, which refuses it at once',
    async (type) => {
      // Guards against a member that joined and was promoted while the store did not answer.
      gateway.updateMembers([soleEntry]);
      await write('in-time');
      await vi.advanceTimersByTimeAsync(DIRECTORY_VALIDITY_MILLISECONDS);
      const session = gateway.openSession();
      session[type]('late');
      await settle();
      expect(gateway.forwarded).toEqual([]);
      expect(session.answers).toMatchObject([
        { outcome: 'refused', detail: expect.stringContaining('only db-1 is listed') },
      ]);
    },
  );

  it('gets no commit of a transaction from an instance whose directory is too old', async () => {
    // Guards against a commit in doubt where it can still be rolled back.
    gateway.updateMembers([soleEntry]);
    const session = gateway.openSession();
    session.begin();
    session.write('w');
    await settle();
    await answerForwarded();
    await vi.advanceTimersByTimeAsync(DIRECTORY_VALIDITY_MILLISECONDS);
    session.commit();
    await settle();
    expect(gateway.forwarded).toEqual([]);
    expect(session.answers.at(-1)).toMatchObject({ outcome: 'refused', reason: 'aborted' });
  });
});

describe('a promotion in a group whose sole member is named', () => {
  const named: PromotionRecord = { ...unclaimed, soleMemberId: 'db-1' };

  /** The named member leaves the directory and no longer answers. */
  async function loseSoleMember(): Promise<void> {
    gateway.silence('db-1');
    gateway.updateMembers([{ ...joinedEntry }]);
    await vi.advanceTimersByTimeAsync(3_000);
  }

  beforeEach(() => {
    gateway.store.current = { record: named, revision: 7 };
  });

  it('waits until all instances know another member, if the named one has gone', async () => {
    // Guards against instances that still reach the named member and know no other.
    gateway.updateMembers([soleEntry, joinedEntry]);
    await loseSoleMember();
    await vi.advanceTimersByTimeAsync(SETTLING_MILLISECONDS - 4_000);
    expect(gateway.orders).toEqual([]);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(gateway.orders).toEqual(['db-2']);
  });

  it('counts that time from the return of a member whose entry had lapsed', async () => {
    // Guards against instances that saw the group without the member while its entry was away.
    gateway.updateMembers([soleEntry, joinedEntry]);
    await vi.advanceTimersByTimeAsync(SETTLING_MILLISECONDS);
    gateway.updateMembers([soleEntry, { ...joinedEntry, createdRevision: 9 }]);
    gateway.silence('db-1');
    gateway.updateMembers([{ ...joinedEntry, createdRevision: 9 }]);
    await vi.advanceTimersByTimeAsync(SETTLING_MILLISECONDS - 1_000);
    expect(gateway.orders).toEqual([]);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(gateway.orders).toEqual(['db-2']);
  });

  it('lets the named member lead again if its last writes do not arrive elsewhere', async () => {
    // Guards against losing what it acknowledged between the look at the replicas and the fence.
    gateway.updateMembers([soleEntry, joinedEntry]);
    gateway.onDemoted(() => {
      positions['db-1'] = { term: 1, index: 6 };
    });
    gateway.updateMembers([{ ...soleEntry, isLeaving: true, revision: 2 }, joinedEntry]);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(gateway.orders[0]).toBe('db-1');
  });
});

describe('the successor of a fenced sole member', () => {
  const fence = { type: 'fenced', memberId: 'db-1', received: { term: 1, index: 7 } } as const;
  const started = { term: 2, primaryId: 'db-1', origin: { term: 1, index: 7 } };
  const common = { isLeaving: false, isRegistered: true, isPreferred: false };
  const former = { ...common, memberId: 'db-2', term: 1, received: { term: 1, index: 9 } };
  const follower = { ...common, memberId: 'db-3', term: 2, received: { term: 1, index: 7 } };

  it('is a replica that has taken over its log, not a former primary with more writes', () => {
    // Guards against writes that return with a former primary after they were told to be discarded.
    expect(chooseFencedCandidate([former, follower], { fence, started })).toBe(follower);
    expect(chooseFencedCandidate([former, follower], { fence })).toBe(former);
  });

  it('is itself while no replica has its whole log', () => {
    const behind = { ...follower, received: { term: 1, index: 6 } };
    expect(chooseFencedCandidate([behind], { fence, started })).toMatchObject({ memberId: 'db-1' });
  });
});
