import type { PromotionRecord } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

/** Time after which all members are registered. */
const REGISTRATION_MILLISECONDS = 10_000;

/** Time within which a held write is answered whatever happens. */
const HOLDING_MILLISECONDS = 5_500;

const ORIGIN: Position = { term: 1, index: 8 };
const HELD: Position = { term: 1, index: 9 };

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

/** Term and log end of each member. */
let members: Record<string, { term: number; position: Position }>;
let gateway: ReturnType<typeof startTestGateway>;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  members = {
    'db-1': { term: 1, position: ORIGIN },
    'db-2': { term: 1, position: ORIGIN },
    'db-3': { term: 1, position: ORIGIN },
  };
  gateway = startTestGateway({
    getPosition: (memberId) => members[memberId]!.position,
    getTerm: (memberId) => members[memberId]!.term,
  });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

function listMembers(primaryId: string, revision: number, isLeaving = false): void {
  gateway.updateMembers(
    Object.keys(members).map((memberId) =>
      createDirectoryEntry({
        memberId,
        address: `${memberId}:1`,
        isPrimary: memberId === primaryId,
        isLeaving: memberId === primaryId && isLeaving,
        revision,
      }),
    ),
  );
}

/** Has `db-1` commit a write that no other member receives, and `db-2` lead the next term. */
async function holdWrite({ recordedId = 'db-2' } = {}) {
  for (let elapsed = 0; elapsed < REGISTRATION_MILLISECONDS; elapsed += 500) {
    listMembers('db-1', 1);
    await settle(500);
  }
  const session = gateway.openSession();
  session.write('w1');
  await settle();
  members['db-1'] = { term: 1, position: HELD };
  gateway.forwarded[0]!.answer();
  await settle();
  const started = { term: 2, primaryId: recordedId, origin: ORIGIN };
  const record: PromotionRecord = { holder: 'other', token: 1, isClaimed: false, started };
  gateway.store.current = { record, revision: 1 };
  members['db-2'] = { term: 2, position: ORIGIN };
  listMembers('db-2', 2);
  await settle(1_000);
  return session;
}

describe('a commit of a primary that was replaced before it was replicated', () => {
  it('is in doubt while the former primary could be promoted again', async () => {
    // Guards against a write that returns with its old primary after it was told to be discarded.
    const session = await holdWrite();
    expect(session.answers).toEqual([]);
    await settle(HOLDING_MILLISECONDS);
    expect(session.answers).toMatchObject([{ outcome: 'refused', reason: 'unknownOutcome' }]);
  });

  it('is discarded once another member has the log of the next term', async () => {
    // Guards against holding callers whose outcome is settled.
    const session = await holdWrite();
    members['db-3'] = { term: 2, position: ORIGIN };
    await settle(500);
    expect(session.answers).toMatchObject([{ outcome: 'refused', reason: 'aborted' }]);
    expect(gateway.findLines('heldWriteSettled')).toMatchObject([{ fate: 'discarded' }]);
  });

  it('is in doubt if another member leads the term than was recorded', async () => {
    // Guards against an outcome by the origin of a promotion that did not happen.
    members['db-4'] = { term: 1, position: ORIGIN };
    const session = await holdWrite({ recordedId: 'db-3' });
    members['db-2'] = { term: 2, position: HELD };
    members['db-4'] = { term: 2, position: ORIGIN };
    await settle(HOLDING_MILLISECONDS);
    expect(session.answers).toMatchObject([{ outcome: 'refused', reason: 'unknownOutcome' }]);
  });
});

describe('a primary that leaves beside the former one, which still has its own log', () => {
  it('is replaced by the member that has the log of its term', async () => {
    // Guards against writes that return with a former primary after they were told to be discarded.
    await holdWrite();
    members['db-3'] = { term: 2, position: ORIGIN };
    await settle(1_000);
    listMembers('db-2', 3, true);
    await settle(2_000);
    expect(gateway.orders).toEqual(['db-3']);
  });
});
