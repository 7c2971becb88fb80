import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createDirectoryEntry, startTestGateway } from './testGateway';

type TestGateway = ReturnType<typeof startTestGateway>;

/** Time after which a member that the directory no longer lists is dropped, with a margin. */
const RETENTION_MILLISECONDS = 3_500;

const primaryEntry = createDirectoryEntry();
const copyEntry = createDirectoryEntry({ memberId: 'db-2', address: 'db-2:1', isPrimary: false });
const laggingEntry = createDirectoryEntry({
  memberId: 'db-3',
  address: 'db-3:1',
  isPrimary: false,
});

const acknowledged = { term: 1, index: 23 };

let gateway: TestGateway;

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

/** Reads data of a stated age and returns the reads that the lagging member can answer. */
async function readFromLaggingMember(): Promise<string[]> {
  gateway.openSession().read('bounded-read');
  await settle(1_000);
  const canAnswer = ({ memberId, after }: (typeof gateway.forwarded)[number]) =>
    memberId === 'db-3' && (!after || after.index < acknowledged.index);
  return gateway.forwarded.filter(canAnswer).map(({ id }) => id);
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  gateway = startTestGateway({
    getPosition: (memberId) => (memberId === 'db-3' ? { term: 1, index: 21 } : acknowledged),
    changes: { consistency: 'boundedStaleness', maximumStaleness: 1_500 },
  });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

describe('a commit that was confirmed by a member that has departed', () => {
  it('is not missed after the primary was dropped and the member ended', async () => {
    // Guards against a lagging replica that alone counts as all members but one.
    gateway.updateMembers([primaryEntry, { ...copyEntry, isLeaving: true }, laggingEntry]);
    await settle(1_000);
    gateway.silence('db-1');
    gateway.updateMembers([{ ...copyEntry, isLeaving: true, revision: 2 }, laggingEntry]);
    await settle(RETENTION_MILLISECONDS);
    gateway.silence('db-2');
    gateway.updateMembers([laggingEntry]);
    expect(await readFromLaggingMember()).toEqual([]);
  });

  it('is not missed after the member was dropped and the primary went silent', async () => {
    // Guards against a proof by the remaining members that none of them confirmed the commit.
    gateway.updateMembers([primaryEntry, copyEntry, laggingEntry]);
    const writer = gateway.openSession();
    writer.write('w');
    await settle();
    for (const { answer } of gateway.forwarded.splice(0)) answer();
    await settle(400);
    expect(writer.answers).toMatchObject([{ outcome: 'completed' }]);
    gateway.silence('db-2');
    gateway.updateMembers([primaryEntry, laggingEntry]);
    await settle(RETENTION_MILLISECONDS);
    gateway.silence('db-1');
    expect(await readFromLaggingMember()).toEqual([]);
  });

  it('is not missed where another instance acknowledged it', async () => {
    // Guards against a proof that rests on the commits that this instance has seen.
    gateway.silence('db-1');
    gateway.updateMembers([primaryEntry, copyEntry, laggingEntry]);
    await settle(1_000);
    gateway.silence('db-2');
    gateway.updateMembers([primaryEntry, laggingEntry]);
    await settle(RETENTION_MILLISECONDS);
    expect(await readFromLaggingMember()).toEqual([]);
  });
});
