import { describe, expect, it } from 'vitest';
import {
  CLAIM_VALID_MILLISECONDS,
  applyStateCommand,
  choosePromotionCandidate,
  createConnectionState,
  createLatencyEstimate,
  createSessionState,
  isClaimValid,
  orderMembersForRead,
  planStateRestore,
  setSessionValue,
  determineWriteOutcome,
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
    connection.preparedNames.add('r_q1');
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
    received: { term: 1, index: 5 },
    isLeaving: true,
    isRegistered: true,
    isPreferred: true,
  };
  const staying = {
    memberId: 'c',
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

describe('the outcome of a write of a replaced primary', () => {
  const started = { term: 2, origin: { term: 1, index: 7 } };

  it.each([
    ['is kept at the origin of the next term', { term: 1, index: 7 }, started, 'kept'],
    ['is discarded beyond the origin', { term: 1, index: 8 }, started, 'discarded'],
    [
      'is unknown if two terms have started since',
      { term: 1, index: 3 },
      { ...started, term: 3 },
      'unknown',
    ],
    [
      'is unknown if the origin of the next term is unknown',
      { term: 1, index: 3 },
      undefined,
      'unknown',
    ],
  ])('%s', (_, position, origin, outcome) => {
    expect(determineWriteOutcome(position, origin)).toBe(outcome);
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
