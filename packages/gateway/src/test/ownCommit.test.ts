import type { RelayStatement } from '@wisterialift/peer/relay';
import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { InstanceRegistry } from '../index';
import { createRelayStatement, noop } from './fixture';
import { createDirectoryEntry, DATABASE, startTestGateway } from './testGateway';

/** More instances than connections for each, so that a few of them hold the connections for all. */
const INSTANCES = 12;

const CONSISTENCY = { consistency: 'readYourWrites', maximumStaleness: 2_500 } as const;

const OWN_COMMIT: Position = { term: 2, index: 5 };

const registry: InstanceRegistry = {
  registerInstance: (onChange) =>
    onChange(
      Array.from({ length: INSTANCES }, (_, index) => ({
        instance: `instance-${index + 1}`,
        dataCentre: 'zone-1',
        address: `instance-${index + 1}:1`,
        weight: 1,
      })),
      { mayOthersLag: false },
    ),
  reportUnreachable: noop,
};

/** A commit that no member can show. */
const DISCARDED: Position = { term: 2, index: 90 };

const settle = (milliseconds = 1) => vi.advanceTimersByTimeAsync(milliseconds);

let positions: Record<string, Position>;
/** Term that all members lead or follow; that of its log end for each if undefined. */
let term: number | undefined;
let gateway: ReturnType<typeof startTestGateway>;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  term = undefined;
  positions = { 'db-1': { term: 1, index: 9 }, 'db-2': { term: 1, index: 9 } };
  gateway = startTestGateway({
    getPosition: (memberId) => positions[memberId]!,
    getTerm: (memberId) => term ?? positions[memberId]!.term,
    changes: CONSISTENCY,
    registry,
    maximumConnections: 20,
    holds: (position, end) => position.index !== DISCARDED.index && isAtMost(position, end),
  });
});

afterEach(() => {
  gateway.close();
  vi.useRealTimers();
});

const FORMER_PRIMARY = createDirectoryEntry();
const REPLICA = createDirectoryEntry({ memberId: 'db-2', address: 'db-2:1', isPrimary: false });

/** Lists a primary and a replica, which both have answered of late. */
async function listMembers(): Promise<void> {
  gateway.updateMembers([FORMER_PRIMARY, REPLICA]);
  await settle(100);
}

/** A statement of a session that has written through another instance. */
function createStatement(
  changes: Parameters<typeof createRelayStatement>[0] = {},
  maximumStaleness: number = CONSISTENCY.maximumStaleness,
): RelayStatement {
  const lastCommit = { position: OWN_COMMIT, ageMilliseconds: 10 };
  return createRelayStatement(
    { id: 'r1', lastCommit, ...changes },
    {
      database: DATABASE,
      version: 1,
      consistency: CONSISTENCY.consistency,
      maximumStalenessMilliseconds: maximumStaleness,
    },
  );
}

/** `isForPrimary` tells whether only the primary can run it; true if omitted. */
const ACTIONS: Record<string, Partial<RelayStatement> & { isForPrimary?: boolean }> = {
  'a plain transaction': {},
  'a read-only transaction': { isReadOnly: true, isForPrimary: false },
  'a read': { action: 'read', transaction: 0, isFirst: false, isForPrimary: false },
  'a write': { action: 'write', transaction: 0, isFirst: false, text: 'WRITE lamp-1 v2' },
};

describe.each(Object.entries(ACTIONS))(
  '%s of a session that has written elsewhere',
  (_, { isForPrimary = true, ...action }) => {
    it('goes to another instance if this one reaches no member of the term', async () => {
      // Guards against a session that reads from a replaced primary what it has overwritten since.
      await listMembers();
      const relayed = gateway.relay(createStatement(action));
      await settle(1_500);
      expect(await relayed).toMatchObject({ isOutOfReach: true });
      expect(gateway.forwarded).toEqual([]);
    });

    it('runs here once a member of the term has answered', async () => {
      // Guards against refusing a session whose commit this instance has only not heard of yet.
      await listMembers();
      positions = { 'db-1': OWN_COMMIT, 'db-2': OWN_COMMIT };
      gateway.updateMembers([
        createDirectoryEntry({ isPrimary: false, revision: 2 }),
        createDirectoryEntry({ memberId: 'db-2', address: 'db-2:1', revision: 2 }),
      ]);
      void gateway.relay(createStatement(action));
      await settle(100);
      expect(gateway.forwarded).toMatchObject([{ id: 'r1' }]);
      if (isForPrimary) expect(gateway.getForwardedIds('db-2')).toEqual(['r1']);
    });
  },
);

it('statements at the same time or shortly after ask the members of an outdated instance once', async () => {
  // Guards against statements that each wait for members out of reach before they go elsewhere.
  await listMembers();
  gateway.silence('db-2');
  const before = gateway.countCommands('db-1', 'status');
  const relayed = [1, 2].map((transaction) => gateway.relay(createStatement({ transaction })));
  await settle(450);
  expect(gateway.findLines('sessionAhead')).toHaveLength(1);
  relayed.push(gateway.relay(createStatement({ transaction: 3 })));
  await settle();
  expect(await Promise.all(relayed)).toMatchObject(Array(3).fill({ isOutOfReach: true }));
  expect(gateway.countCommands('db-1', 'status')).toBe(before + 1);
});

it('a member that has left the directory is not asked', async () => {
  // Guards against statements that wait for machines which are gone.
  await listMembers();
  gateway.updateMembers([FORMER_PRIMARY]);
  await settle(600);
  const before = gateway.countCommands('db-2', 'status');
  const relayed = gateway.relay(createStatement());
  await settle();
  expect(await relayed).toMatchObject({ isOutOfReach: true });
  expect(gateway.countCommands('db-2', 'status')).toBe(before);
});

it('an instance that has not heard from a member yet runs the statement', async () => {
  // Guards against instances that pass statements on to each other after they have all started.
  positions = { 'db-1': OWN_COMMIT, 'db-2': OWN_COMMIT };
  gateway.holdAnswers('status');
  await listMembers();
  void gateway.relay(createStatement());
  await settle(100);
  expect(gateway.forwarded).toMatchObject([{ id: 'r1', memberId: 'db-1' }]);
});

describe('a read with bounded staleness', () => {
  it('runs here although its session has a commit of a later term', async () => {
    // Guards against a promise that the route does not make and a query that it does not need.
    gateway.updateRoute(2, { consistency: 'boundedStaleness' });
    await listMembers();
    const read = createStatement(ACTIONS['a read']);
    const route = { ...read.route!, version: 2, consistency: 'boundedStaleness' };
    void gateway.relay({ ...read, route });
    await settle(100);
    expect(gateway.forwarded).toMatchObject([{ id: 'r1' }]);
  });
});

describe('a read on a route that reads its own writes', () => {
  it('runs without a discarded commit', async () => {
    // Guards against a session that is refused for good once its last commit is lost.
    term = 3;
    positions = { 'db-1': { term: 3, index: 5 }, 'db-2': { term: 3, index: 5 } };
    await listMembers();
    const lastCommit = { position: DISCARDED, ageMilliseconds: 10 };
    void gateway.relay(createStatement({ ...ACTIONS['a read'], lastCommit }, 0));
    await settle(100);
    expect(gateway.findLines('ownCommitDiscarded')).toHaveLength(1);
    expect(gateway.forwarded).toMatchObject([{ memberId: 'db-1', after: undefined }]);
  });

  it('keeps its commit if the primary lacks a later position that it must have', async () => {
    // Guards against taking a commit for discarded because of what others have committed.
    term = 3;
    positions = { 'db-1': { term: 3, index: 9 }, 'db-2': { term: 3, index: 9 } };
    await listMembers();
    positions = { 'db-1': { term: 3, index: 5 }, 'db-2': { term: 3, index: 5 } };
    const lastCommit = { position: OWN_COMMIT, ageMilliseconds: 10 };
    void gateway.relay(createStatement({ ...ACTIONS['a read'], lastCommit }));
    await settle(100);
    expect(gateway.countCommands('db-1', 'forward')).toBeGreaterThan(0);
    expect(gateway.forwarded).toEqual([]);
    expect(gateway.findLines('ownCommitDiscarded')).toEqual([]);
  });

  it('requires the last commit of the primary if it accepts no staleness', async () => {
    // Guards against a read that asks a presumed primary for nothing at all.
    await listMembers();
    const lastCommit = { position: positions['db-1'], ageMilliseconds: 10 };
    void gateway.relay(createStatement({ ...ACTIONS['a read'], lastCommit }, 0));
    await settle(100);
    expect(gateway.forwarded).toMatchObject([{ memberId: 'db-1', after: positions['db-1'] }]);
  });
});

describe('a transaction on a route that reads its own writes', () => {
  it.each([true, false])('begins after the last commit (read-only: %s)', async (isReadOnly) => {
    // Guards against a transaction that begins without the session's last commit.
    await listMembers();
    const session = gateway.openSession();
    session.write('w1');
    await settle();
    gateway.forwarded[0]!.answer();
    await settle(500);
    expect(session.answers).toHaveLength(1);
    session.begin(isReadOnly);
    session.read('r1');
    await settle();
    expect(gateway.listBegun().map(({ after }) => after)).toEqual([positions['db-1']]);
  });

  it('asks a former primary once while the new one is out of reach', async () => {
    // Guards against statements that are tried at a former primary until their time limit.
    await listMembers();
    positions = { ...positions, 'db-2': OWN_COMMIT, 'db-3': OWN_COMMIT };
    gateway.holdConnections('db-3');
    gateway.updateMembers([
      FORMER_PRIMARY,
      REPLICA,
      createDirectoryEntry({ memberId: 'db-3', address: 'db-3:1', revision: 2 }),
    ]);
    void gateway.relay(createStatement());
    await settle(1_000);
    expect(gateway.listBegun()).toEqual([{ memberId: 'db-1', after: OWN_COMMIT }]);
  });

  it.each([
    ['beyond the commit', { term: 3, index: 5 }],
    ['before the commit, in a later term', { term: 2, index: 80 }],
  ])('begins without a discarded commit at a primary whose log ends %s', async (_, end) => {
    // Guards against a session that is refused for good once its last commit is lost.
    term = 3;
    positions = { 'db-1': end, 'db-2': end };
    await listMembers();
    const lastCommit = { position: DISCARDED, ageMilliseconds: 10 };
    void gateway.relay(createStatement({ lastCommit }));
    await settle(100);
    expect(gateway.getForwardedIds('db-1')).toEqual(['r1']);
    expect(gateway.findLines('ownCommitDiscarded')).toHaveLength(1);
  });

  it('does not begin at a promoted primary that has yet to apply its last commit', async () => {
    // Guards against taking a commit for discarded that the new primary has only received.
    term = 3;
    positions = { 'db-1': { term: 2, index: 95 }, 'db-2': { term: 2, index: 95 } };
    await listMembers();
    const lastCommit = { position: DISCARDED, ageMilliseconds: 10 };
    void gateway.relay(createStatement({ lastCommit }));
    await settle(500);
    expect(gateway.forwarded).toEqual([]);
    expect(gateway.findLines('ownCommitDiscarded')).toEqual([]);
  });
});
