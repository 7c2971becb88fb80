import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  chooseConnectionToClose,
  computeConnectionShare,
  computeEvenShare,
  createOwnerUsage,
} from '../index';

const deployment = fc.record({
  maximumConnections: fc.integer({ min: 1, max: 500 }),
  dataCentres: fc.integer({ min: 1, max: 12 }),
  holdersPerDataCentre: fc.integer({ min: 1, max: 4 }),
});

describe('the shares of holders at a member', () => {
  it('stay within its limit whatever each holder believes about the primary', () => {
    // Guards against refused connections in the seconds in which holders know different primaries.
    fc.assert(
      fc.property(deployment, fc.infiniteStream(fc.boolean()), (input, beliefs) => {
        const { maximumConnections, dataCentres, holdersPerDataCentre } = input;
        const holders = dataCentres * holdersPerDataCentre;
        const shares = Array.from({ length: holders }, (_, index) =>
          computeConnectionShare({
            maximumConnections,
            holders,
            holdersNearMember: holdersPerDataCentre,
            isNearMember: index < holdersPerDataCentre,
            isPrimary: beliefs.next().value!,
          }),
        );
        const sum = shares.reduce((total, share) => total + share, 0);
        expect(sum).toBeLessThanOrEqual(Math.max(maximumConnections, holders));
      }),
    );
  });

  it('stay within the shared part while all agree, so that dead connections leave room', () => {
    // Guards against a member whose places are all taken after the holders lost power.
    const input = { maximumConnections: 70, holders: 6, holdersNearMember: 1, isPrimary: true };
    const near = computeConnectionShare({ ...input, isNearMember: true });
    const distant = computeConnectionShare({ ...input, isNearMember: false });
    expect({ near, distant }).toEqual({ near: 35, distant: 1 });
    expect(near + 5 * distant).toBeLessThanOrEqual(42);
  });

  it('are even at a replica, and where no holder is near the primary', () => {
    const input = { maximumConnections: 70, holders: 6, isNearMember: false };
    const even = computeEvenShare(70, 6);
    expect(computeConnectionShare({ ...input, holdersNearMember: 1, isPrimary: false })).toBe(even);
    expect(computeConnectionShare({ ...input, holdersNearMember: 0, isPrimary: true })).toBe(even);
  });
});

describe('the connection to close', () => {
  const now = 10_000;

  function createUsage(uses: Record<string, number>, heldMilliseconds: number) {
    const usage = createOwnerUsage();
    for (const [owner, count] of Object.entries(uses)) {
      for (let index = 0; index < count; index += 1) usage.record(owner, heldMilliseconds, now);
    }
    return usage;
  }

  it('is that of the team with the fewest statements, even if it was used last', () => {
    // Guards against a frequent team whose connection is closed for each statement of a rare one.
    const usage = createUsage({ north: 20, south: 1 }, 5);
    const idle = [{ owner: 'north' }, { owner: 'south' }];
    expect(chooseConnectionToClose(idle, { others: [], usage, now })).toBe(idle[1]);
  });

  it('is a second one of a frequent team that seldom needs two', () => {
    const usage = createUsage({ north: 20, south: 2 }, 5);
    const idle = [{ owner: 'south' }, { owner: 'north' }];
    const others = [{ owner: 'north' }];
    expect(chooseConnectionToClose(idle, { others, usage, now })).toBe(idle[1]);
    const busyUsage = createUsage({ north: 20, south: 2 }, 400);
    expect(chooseConnectionToClose(idle, { others, usage: busyUsage, now })).toBe(idle[0]);
  });

  it('is the least recently used one of teams without statements', () => {
    const idle = [{ owner: 'north' }, { owner: 'south' }];
    const usage = createOwnerUsage();
    expect(chooseConnectionToClose(idle, { others: [], usage, now })).toBe(idle[0]);
    expect(chooseConnectionToClose([], { others: [], usage, now })).toBeUndefined();
  });
});

describe('the usage of connections', () => {
  it('forgets teams without recent statements', () => {
    // Guards against memory that grows with every team that ever sent a statement.
    const usage = createOwnerUsage();
    usage.record('north', 5, 0);
    usage.removeIdle(20_000);
    expect(usage.countOwners()).toBe(1);
    usage.removeIdle(31_000);
    expect(usage.countOwners()).toBe(0);
  });

  it('follows a team whose load ends', () => {
    const usage = createOwnerUsage();
    for (let at = 0; at < 50_000; at += 100) usage.record('north', 20, at);
    expect(usage.getRate('north', 50_000)).toBeCloseTo(10, 0);
    expect(usage.getLoad('north', 50_000)).toBeCloseTo(0.2, 1);
    expect(usage.getRate('north', 80_000)).toBeLessThan(1);
  });
});
