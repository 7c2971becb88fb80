import { describe, expect, it } from 'vitest';
import {
  chooseNextStatement,
  computeRetryDelay,
  createLagEstimate,
  computeMaximumQueueWait,
  orderMembersForRead,
} from '../index';

describe('estimating replication lag', () => {
  const required = { position: { term: 1, index: 9 }, seenAt: 1_000 };
  const observed = { applied: { term: 1, index: 5 }, lag: 4_000, now: 1_100 };

  function createLaggingReplica() {
    const lag = createLagEstimate();
    lag.observe(observed);
    return lag;
  }

  it('estimates how long a read would wait', () => {
    const lag = createLaggingReplica();
    expect([
      lag.estimateTimeUntilApplied(required, 1_100),
      lag.estimateTimeUntilApplied(required, 6_000),
      lag.estimateTimeUntilApplied({ ...required, position: { term: 1, index: 5 } }, 1_100),
    ]).toEqual([3_900, 0, 0]);
  });

  it('allows one probe at a time once the estimate has expired', () => {
    // Guards against a replica that has caught up but receives no reads, since only reads update its
    // estimate.
    const lag = createLaggingReplica();
    const results = [lag.canTryRead(1_300), lag.canTryRead(1_600)];
    lag.beginTrialRead();
    results.push(lag.canTryRead(1_600));
    lag.endTrialRead();
    results.push(lag.canTryRead(1_600));
    lag.observe({ ...observed, now: 1_650 });
    results.push(lag.canTryRead(1_700));
    expect(results).toEqual([false, true, false, true, false]);
  });

  it('describes the last lag and its age', () => {
    expect([
      createLagEstimate().getLastObservation(1),
      createLaggingReplica().getLastObservation(1_500),
    ]).toMatchSnapshot();
  });
});

describe('ordering members for a read', () => {
  const idle = {
    latency: 30,
    load: 0,
    capacity: 4,
    delay: 0,
    wait: 0,
    hasExclusiveStatements: false,
  };

  it.each([
    [
      'a remote member over a near one whose only connection is in use',
      [
        { ...idle, memberId: 'near', load: 2, capacity: 1 },
        { ...idle, memberId: 'far', latency: 55 },
      ],
      'far',
    ],
    [
      'a remote replica over a near primary',
      [
        { ...idle, memberId: 'primary', hasExclusiveStatements: true },
        { ...idle, memberId: 'replica', latency: 55 },
      ],
      'replica',
    ],
    [
      'the primary over a lagging replica',
      [
        { ...idle, memberId: 'primary', hasExclusiveStatements: true },
        { ...idle, memberId: 'replica', wait: 400 },
      ],
      'primary',
    ],
    [
      'a member with a free connection over one without',
      [
        { ...idle, memberId: 'none', delay: 500 },
        { ...idle, memberId: 'open', latency: 100, load: 3 },
      ],
      'open',
    ],
  ])('prefers %s', (_, members, expected) => {
    expect(orderMembersForRead(members)[0]?.memberId).toBe(expected);
  });
});

describe('choosing the next statement', () => {
  it('chooses the highest priority, and among equals the oldest', () => {
    const waiting = [
      { id: 'late', priority: 1, arrivedAt: 30 },
      { id: 'low', priority: 2, arrivedAt: 10 },
      { id: 'early', priority: 1, arrivedAt: 20 },
    ];
    expect(chooseNextStatement(waiting)?.id).toBe('early');
    expect(chooseNextStatement([])).toBeUndefined();
  });
});

describe('the maximum time in a queue', () => {
  it('is the time left in a burst, and at most a fraction of the goal in an overload', () => {
    const statement = { latencyGoal: 1_000, timeLeft: 900 };
    expect([
      computeMaximumQueueWait({ ...statement, timeSinceEmpty: 0 }),
      computeMaximumQueueWait({ ...statement, timeSinceEmpty: 5_000 }),
      computeMaximumQueueWait({ ...statement, timeLeft: 100, timeSinceEmpty: 5_000 }),
    ]).toEqual([900, 250, 100]);
  });
});

describe('the delay before a retry', () => {
  it('follows the expected wait, with jitter and within limits', () => {
    expect([
      computeRetryDelay({ expectedWait: 400, jitter: 0 }),
      computeRetryDelay({ expectedWait: 400, jitter: 0.5 }),
      computeRetryDelay({ jitter: 0 }),
      computeRetryDelay({ expectedWait: 0, jitter: 0 }),
      computeRetryDelay({ expectedWait: 60_000, jitter: 0 }),
    ]).toEqual([400, 500, 300, 50, 2_000]);
  });
});
