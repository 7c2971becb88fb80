import { createRandom, createScheduler } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import type { RequestKind } from '../index';
import { createOracle } from '../lib/callers/oracle';
import { createReplicatedLog } from '../lib/databases/replicatedLog';

const GROUP = 'group-1';

/** Age that a read of a stated age accepts. */
const MAXIMUM_STALENESS = 1_500;

/** Time in which a promotion takes effect and all members follow. */
const PROMOTION_MILLISECONDS = 3_000;

/** A group of three, its oracle, and callers who are told what the test says. */
function createHistory() {
  const scheduler = createScheduler();
  const replication = createReplicatedLog({
    memberIds: ['db-1', 'db-2', 'db-3'],
    lag: 20,
    promoteTime: 300,
    scheduler,
    random: createRandom(1),
  });
  const oracle = createOracle(scheduler, new Map([[GROUP, replication]]));
  const memberOf = (memberId: string) => replication.members.get(memberId)!;

  const wait = (milliseconds: number) => scheduler.runUntil(scheduler.now() + milliseconds);

  function write(id: string, memberId: string): void {
    oracle.noteSent(GROUP, id);
    replication.commit(memberOf(memberId), [id]);
    wait(100);
  }

  function acknowledge(id: string, session = {}): void {
    oracle.noteWriteEnd({ group: GROUP, id, session, end: { type: 'served' } });
    wait(1);
  }

  function commit(id: string, { at = 'db-1', session = {} } = {}): void {
    write(id, at);
    acknowledge(id, session);
  }

  /** A read that was sent at `since`, or now, and ran at the member now. */
  function read(
    memberId: string,
    consistency: RequestKind['consistency'],
    { since = oracle.now(), session = {} } = {},
  ): void {
    const kind = { name: consistency, consistency, maximumStaleness: MAXIMUM_STALENESS };
    const { term, index } = replication.appliedPosition(memberOf(memberId));
    const rows = [`${term}.${index}`];
    const asked = { group: GROUP, kind: kind as RequestKind, since, session, rows, id: 'r1' };
    oracle.checkRead(asked);
  }

  function promote(memberId: string): void {
    replication.promote(memberId);
    wait(PROMOTION_MILLISECONDS);
  }

  const brokenPromises = () => oracle.broken().map(({ promise }) => promise);

  return {
    oracle,
    replication,
    memberOf,
    wait,
    write,
    acknowledge,
    commit,
    read,
    promote,
    brokenPromises,
  };
}

describe('a read that lacks an acknowledged commit', () => {
  it('is stale at once on a route to the primary, whatever age the route states', () => {
    const { replication, commit, read, brokenPromises } = createHistory();
    replication.setPace('db-3', { isDeaf: true });
    commit('w1');
    read('db-3', 'primary');
    expect(brokenPromises()).toEqual(['stale']);
  });

  it('is stale once the commit is older than the stated age', () => {
    const { oracle, replication, wait, commit, read, brokenPromises } = createHistory();
    replication.setPace('db-3', { isDeaf: true });
    commit('w1');
    wait(MAXIMUM_STALENESS - 10);
    read('db-3', 'boundedStaleness');
    expect(brokenPromises()).toEqual([]);
    wait(20);
    read('db-3', 'boundedStaleness', { since: oracle.now() - 20 });
    expect(brokenPromises()).toEqual([]);
    read('db-3', 'boundedStaleness');
    expect(brokenPromises()).toEqual(['stale']);
  });

  it('is not stale if the commit was acknowledged after its transaction was sent', () => {
    const { oracle, replication, commit, read, brokenPromises } = createHistory();
    replication.setPace('db-3', { isDeaf: true });
    const began = oracle.now();
    commit('w1');
    read('db-3', 'primary', { since: began });
    expect(brokenPromises()).toEqual([]);
  });

  it('is missed by no commit that was acknowledged later and stands earlier in the log', () => {
    const { oracle, write, acknowledge, read, brokenPromises } = createHistory();
    const ids = ['w1', 'w2'];
    for (const id of ids) write(id, 'db-1');
    for (const id of ids.toReversed()) acknowledge(id);
    const rows = ['1.2'];
    const kind = { name: 'primary', consistency: 'primary', maximumStaleness: 0 } as RequestKind;
    oracle.checkRead({ group: GROUP, kind, since: oracle.now(), session: {}, rows, id: 'r1' });
    expect(brokenPromises()).toEqual(['stale']);
    read('db-1', 'primary');
    expect(brokenPromises()).toEqual(['stale']);
  });

  it('breaks the promise to its session, at any age', () => {
    const { replication, commit, read, brokenPromises } = createHistory();
    const session = {};
    replication.setPace('db-3', { isDeaf: true });
    commit('w1', { session });
    read('db-3', 'readYourWrites');
    read('db-3', 'boundedStaleness', { session });
    expect(brokenPromises()).toEqual([]);
    read('db-3', 'readYourWrites', { session });
    expect(brokenPromises()).toEqual(['ownWrite']);
  });

  it('is not stale if a promotion rolled the commit back, whichever log it ran on', () => {
    const { replication, commit, read, promote, memberOf, brokenPromises } = createHistory();
    for (const memberId of ['db-2', 'db-3']) replication.setPace(memberId, { isDeaf: true });
    commit('w1');
    memberOf('db-1').isUp = false;
    promote('db-2');
    for (const memberId of ['db-1', 'db-2', 'db-3']) read(memberId, 'primary');
    expect(brokenPromises()).toEqual(['rolledBack']);
    commit('w2', { at: 'db-2' });
    read('db-2', 'primary');
    expect(brokenPromises()).toEqual(['rolledBack']);
    for (const memberId of ['db-1', 'db-3']) read(memberId, 'primary');
    expect(brokenPromises()).toEqual(['rolledBack', 'stale', 'stale']);
  });

  it('is stale in a later term that lacks it, if the newest term holds it', () => {
    const { replication, write, acknowledge, read, promote, memberOf, brokenPromises } =
      createHistory();
    replication.setPace('db-3', { isDeaf: true });
    write('w1', 'db-1');
    replication.setCutOff('db-1', true);
    promote('db-3');
    memberOf('db-1').role = 'replica';
    promote('db-1');
    acknowledge('w1');
    expect(brokenPromises()).toEqual([]);
    read('db-3', 'primary');
    expect(brokenPromises()).toEqual(['stale']);
  });

  it('is stale at a former primary that went on alone', () => {
    const { replication, commit, read, promote, memberOf, brokenPromises } = createHistory();
    replication.setCutOff('db-1', true);
    promote('db-2');
    commit('w1', { at: 'db-2' });
    for (const id of ['w2', 'w3', 'w4']) replication.commit(memberOf('db-1'), [id]);
    read('db-1', 'primary');
    expect(brokenPromises()).toEqual(['stale']);
  });
});

describe('a term that begins anew after its members lost it', () => {
  it('holds none of what was acknowledged in it before', () => {
    // Guards against taking the entries of one term for those of another with the same number.
    const { replication, commit, read, promote, brokenPromises } = createHistory();
    for (const memberId of ['db-1', 'db-3']) replication.setCutOff(memberId, true);
    promote('db-2');
    commit('w1', { at: 'db-2' });
    replication.restartEmpty('db-2');
    promote('db-3');
    for (const id of ['w2', 'w3']) commit(id, { at: 'db-3' });
    expect(brokenPromises()).toEqual(['rolledBack']);
    read('db-3', 'primary');
    expect(brokenPromises()).toEqual(['rolledBack']);
  });
});

describe('a promotion', () => {
  it('that keeps what was acknowledged rolls nothing back', () => {
    const { oracle, commit, promote, read, brokenPromises } = createHistory();
    commit('w1');
    promote('db-2');
    commit('w2', { at: 'db-2' });
    read('db-1', 'primary');
    read('db-3', 'primary');
    oracle.checkLogs();
    expect(brokenPromises()).toEqual([]);
  });

  it('rolls back what is acknowledged after it and missing from its log', () => {
    const { oracle, replication, write, acknowledge, promote, brokenPromises } = createHistory();
    for (const memberId of ['db-2', 'db-3']) replication.setPace(memberId, { isDeaf: true });
    write('w1', 'db-1');
    replication.setCutOff('db-1', true);
    promote('db-2');
    acknowledge('w1');
    oracle.checkLogs();
    expect(brokenPromises()).toEqual(['rolledBack']);
  });
});
