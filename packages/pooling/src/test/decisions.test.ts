import { describe, expect, it } from 'vitest';
import {
  CLAIM_VALID_MILLISECONDS,
  applyStateCommand,
  choosePromotionCandidate,
  determineCommitOutcome,
  createConnectionState,
  createLatencyEstimate,
  createSessionState,
  isClaimValid,
  orderMembersForRead,
  planStateRestore,
  setSessionValue,
} from '../index';
import type { PreparedStatement } from '../index';

describe('restoring session state on a connection', () => {
  const statement: PreparedStatement = { access: 'write', shape: 'q2c' };

  function planCommands(
    sessionVariables: Record<string, string>,
    connectionVariables: Record<string, string>,
  ) {
    const session = { version: 0, values: new Map(Object.entries(sessionVariables)) };
    const connection = createConnectionState();
    Object.entries(connectionVariables).forEach((entry) => connection.values.set(...entry));
    applyStateCommand(connection, {
      type: 'prepare',
      statement: { access: 'read', shape: 'q1' },
    });
    return planStateRestore({ session, connection, statement });
  }

  it('takes the fewest commands', () => {
    expect({
      same: planCommands({ a: '1' }, { a: '1' }),
      changed: planCommands({ a: '2', b: '1' }, { a: '1' }),
      extra: planCommands({ a: '1' }, { a: '1', b: '1' }),
    }).toMatchSnapshot();
  });

  it('takes no commands after the planned ones were applied', () => {
    const session = setSessionValue(createSessionState(), 'a', '1');
    const connection = createConnectionState();
    const request = { session, connection, statement };
    for (const command of planStateRestore(request)) applyStateCommand(connection, command);
    expect(planStateRestore(request)).toEqual([]);
  });
});

describe('choosing a replica to promote', () => {
  const replica = (memberId: string, index: number, options = {}) => ({
    memberId,
    term: 1,
    received: { term: 1, index },
    isLeaving: false,
    isRegistered: true,
    isPreferred: false,
    ...options,
  });

  it.each([
    ['the replica with the highest log end', [replica('b', 4), replica('c', 5)], 'c'],
    [
      'of equal logs, a replica that is not leaving',
      [replica('b', 5, { isLeaving: true }), replica('c', 5)],
      'c',
    ],
    [
      'of equal logs, the preferred replica',
      [replica('b', 5), replica('c', 5, { isPreferred: true })],
      'c',
    ],
    [
      'of equal logs, a registered replica before the preferred one',
      [replica('b', 5, { isRegistered: false, isPreferred: true }), replica('c', 5)],
      'c',
    ],
    [
      'a replica that is not registered if it has the highest log end',
      [replica('b', 4), replica('c', 5, { isRegistered: false })],
      'c',
    ],
  ])('chooses %s', (_, replicas, expected) => {
    expect(choosePromotionCandidate(replicas)?.memberId).toBe(expected);
  });
});

describe('a leaving replica', () => {
  const leaving = {
    memberId: 'b',
    term: 1,
    received: { term: 1, index: 5 },
    isLeaving: true,
    isRegistered: true,
    isPreferred: true,
  };
  const staying = {
    memberId: 'c',
    term: 1,
    received: { term: 1, index: 4 },
    isLeaving: false,
    isRegistered: true,
    isPreferred: false,
  };

  it('is not promoted, and neither is a replica that is behind it', () => {
    // Guards against promoting a leaving replica, or a replica that lacks a write that the leaving one
    // confirmed.
    expect(choosePromotionCandidate([leaving])).toBeUndefined();
    expect(choosePromotionCandidate([leaving, staying])).toBeUndefined();
    expect(choosePromotionCandidate([{ ...leaving, received: staying.received }, staying])).toBe(
      staying,
    );
  });
});

describe('a commit whose primary was replaced', () => {
  const started = { term: 2, primaryId: 'b', origin: { term: 1, index: 7 } };

  it.each([
    ['is kept up to the origin of the next term', { term: 1, index: 7 }, started, 'kept'],
    ['is discarded beyond the origin', { term: 1, index: 8 }, started, 'discarded'],
    [
      'is discarded by a later term that started from an older log',
      { term: 2, index: 8 },
      { ...started, term: 3 },
      'discarded',
    ],
    [
      // Guards against acknowledging a commit of a replaced primary that is promoted again.
      'is not told by a later term that started from the same log',
      { term: 1, index: 3 },
      { ...started, term: 3 },
      undefined,
    ],
    [
      'is not told where the start of a term in between is unknown',
      { term: 1, index: 3 },
      { ...started, term: 3, origin: { term: 2, index: 9 } },
      undefined,
    ],
    ['is not told by the start of its own term', { term: 2, index: 8 }, started, undefined],
  ])('%s', (_, position, start, outcome) => {
    expect(determineCommitOutcome(position, start)).toBe(outcome);
  });
});

describe('a former primary with writes that the next term lacks', () => {
  const started = { term: 2, primaryId: 'b', origin: { term: 1, index: 7 } };
  const common = { isLeaving: false, isRegistered: true, isPreferred: false };
  const former = { ...common, memberId: 'a', term: 1, received: { term: 1, index: 9 } };
  const follower = { ...common, memberId: 'c', term: 2, received: { term: 1, index: 7 } };

  it('is not promoted again beside a replica that has taken over the log of that term', () => {
    // Guards against writes that return after their callers were told of a roll-back.
    expect(choosePromotionCandidate([former, follower], started)).toBe(follower);
    const demoted = { ...former, term: 2 };
    expect(choosePromotionCandidate([demoted, follower], started)).toBe(follower);
    const ahead = { ...follower, memberId: 'd', received: { term: 2, index: 8 } };
    expect(choosePromotionCandidate([former, follower, ahead], started)).toBe(ahead);
  });

  it('is promoted again while no replica has, since it may alone hold acknowledged writes', () => {
    const behind = { ...follower, received: { term: 1, index: 6 } };
    expect(choosePromotionCandidate([former, behind], started)).toBe(former);
    expect(choosePromotionCandidate([former, { ...behind, term: 1 }], started)).toBe(former);
    expect(choosePromotionCandidate([former, { ...follower, term: 1 }], started)).toBe(former);
    expect(choosePromotionCandidate([former, follower])).toBe(former);
  });

  it('gives way to no replica that leaves, and is not promoted in its place either', () => {
    const leaving = { ...follower, isLeaving: true };
    expect(choosePromotionCandidate([former, leaving], started)).toBeUndefined();
  });
});

describe('the validity of a promotion claim', () => {
  const claimed = { monotonic: 1_000, wall: 900_000 };

  it('ends when the claim expires', () => {
    const late = CLAIM_VALID_MILLISECONDS;
    expect(isClaimValid(claimed, { monotonic: 1_200, wall: 900_200 })).toBe(true);
    expect(isClaimValid(claimed, { monotonic: 1_000 + late, wall: 900_000 + late })).toBe(false);
  });

  it('ends with a suspension, during which the monotonic clock stops', () => {
    // Guards against an instance whose machine was suspended between claim and command, and which
    // sends the command with an outdated token after another instance has taken over.
    expect(isClaimValid(claimed, { monotonic: 1_010, wall: 904_010 })).toBe(false);
  });
});

describe('routing a read', () => {
  const member = (memberId: string, latency: number, load = 0, wait = 0) => ({
    memberId,
    latency,
    load,
    capacity: 4,
    delay: 0,
    wait,
    hasExclusiveStatements: false,
  });

  it.each([
    ['the nearest member', [member('far', 55), member('near', 30)], 'near'],
    [
      'another member once the nearest is loaded',
      [member('far', 55), member('near', 30, 3)],
      'far',
    ],
    ['a member without replication lag', [member('far', 55), member('near', 30, 0, 400)], 'far'],
    [
      'a lagging member over a fully loaded one',
      [member('full', 100, 12), member('late', 30, 0, 400)],
      'late',
    ],
  ])('prefers %s', (_, members, expected) => {
    expect(orderMembersForRead(members)[0]?.memberId).toBe(expected);
  });

  it('lowers the estimate of a slow member over time', () => {
    const estimate = createLatencyEstimate(30);
    for (let answer = 0; answer < 60; answer += 1) estimate.record(400, 0);
    const [slow, later] = [estimate.getCurrent(0), estimate.getCurrent(8_000)];
    expect(slow).toBeGreaterThan(300);
    expect(later).toBeLessThan(60);
  });
});
