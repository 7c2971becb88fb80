import { describe, expect, it } from 'vitest';
import { computeLatestReturn, createReturnCredits, createReturnSchedule } from '../index';

const request = { now: 0, expectedWait: 200, interval: 40, latest: 2_000, jitter: 0 };

describe('a return schedule', () => {
  it('gives statements refused consecutively one place each', () => {
    // Guards against callers that all return to the same place in the queue.
    const { reserve } = createReturnSchedule();
    expect([1, 2, 3, 4].map(() => reserve(request))).toEqual([200, 240, 280, 320]);
    expect(reserve({ ...request, now: 1_000 })).toBe(200);
  });

  it('stays within 50 ms and 2 s', () => {
    const wait = (expectedWait: number | undefined) =>
      createReturnSchedule().reserve({ ...request, expectedWait });
    expect([0, 60, undefined, 9_000, Infinity].map(wait)).toEqual([50, 60, 300, 2_000, 2_000]);
  });

  it('spreads places over the permitted time when there are too many', () => {
    // Guards against telling every further caller the same latest time.
    const { reserve } = createReturnSchedule();
    const told = Array.from({ length: 100 }, () => reserve({ ...request, latest: 800 }));
    expect(Math.max(...told)).toBeLessThanOrEqual(800);
    expect(told.filter((milliseconds) => milliseconds > 700).length).toBeLessThan(30);
    expect(new Set(told).size).toBeGreaterThanOrEqual(15);
  });

  it('limits the jitter to half the distance between two places and to 20 ms', () => {
    const withJitter = (interval: number) =>
      createReturnSchedule().reserve({ ...request, interval, jitter: 0.999 });
    expect([10, 40, 400].map(withJitter)).toEqual([205, 220, 220]);
  });

  it('returns a caller while its time limit still fits within its usual deadline', () => {
    // Guards against a return after which the caller has no time left for the statement.
    const latest = (waited: number) => computeLatestReturn({ timeLimit: 800, waited });
    expect([0, 300, 800, 900].map(latest)).toEqual([800, 500, 50, 50]);
    expect(computeLatestReturn({ timeLimit: 9_000, waited: 0 })).toBe(2_000);
  });
});

describe('return credits', () => {
  const owner = { team: 'team-1', database: 'ledger' };
  const refused = { arrivedAt: 900, now: 1_000, returnMilliseconds: 100 };

  function claimAt(arrivedAt: number, changes: Partial<typeof owner> = {}) {
    const credits = createReturnCredits();
    credits.give(owner, refused);
    return credits.claim({ ...owner, ...changes }, { arrivedAt, goal: 800 });
  }

  it('apply from the return time until twice that time', () => {
    expect([1_099, 1_100, 1_200, 1_201].map((at) => claimAt(at))).toEqual([
      undefined,
      900,
      900,
      undefined,
    ]);
  });

  it('apply only to the team and database of the refused statement', () => {
    // Guards against a team that is ordered by the arrivals of another one.
    expect(claimAt(1_100, { team: 'team-2' })).toBeUndefined();
    expect(claimAt(1_100, { team: undefined })).toBeUndefined();
    expect(claimAt(1_100, { database: 'history' })).toBeUndefined();
  });

  it('order a statement at most half a goal earlier', () => {
    // Guards against a statement that overtakes all others by a long series of refusals, and against one
    // that counts as late on arrival and is placed last in the fair order.
    const credits = createReturnCredits();
    credits.give(owner, { arrivedAt: 0, now: 1_000, returnMilliseconds: 1_000 });
    expect(credits.claim(owner, { arrivedAt: 2_000, goal: 400 })).toBe(1_800);
  });

  it('are used once', () => {
    const credits = createReturnCredits();
    credits.give(owner, refused);
    const statement = { arrivedAt: 1_100, goal: 400 };
    expect([1, 2].map(() => credits.claim(owner, statement))).toEqual([900, undefined]);
    expect(credits.size()).toBe(0);
  });

  it('drop the oldest beyond the maximum', () => {
    // Guards against memory that grows with the refusals of an overload.
    const credits = createReturnCredits();
    for (let arrivedAt = 0; arrivedAt < 1_500; arrivedAt += 1) {
      const name = { team: `team-${arrivedAt}`, database: 'ledger' };
      credits.give(name, { ...refused, arrivedAt });
    }
    expect(credits.size()).toBe(1_000);
    const claim = (team: string) =>
      credits.claim({ ...owner, team }, { arrivedAt: 1_100, goal: 4_000 });
    expect([claim('team-499'), claim('team-500')]).toEqual([undefined, 500]);
  });
});
