import { describe, expect, it } from 'vitest';
import { createAllocatorPlans } from '../lib/limits/allocatorPlans';
import { createPermitAllocator } from '../lib/limits/permitAllocator';
import type { PermitGrant } from '../lib/limits/permitAllocator';
import { createTeamLimiter } from '../lib/limits/teamLimiter';
import { LIST_SETTLING_MILLISECONDS } from '../index';
import type { Clock, InstanceEntry } from '../index';
import { noop } from './fixture';

const TOLERANCE = { windowMilliseconds: 5_000, excess: 0.1, slack: 20 };

/** A clock that the test advances. */
function createTestClock() {
  let now = 0;
  const clock = { now: () => now, runAfter: () => noop } as Partial<Clock> as Clock;
  return {
    clock,
    advance: (milliseconds: number) => {
      now += milliseconds;
    },
  };
}

const createEntries = (names: string[]): InstanceEntry[] =>
  names.map((instance) => ({ instance, dataCentre: 'zone-1', address: instance, weight: 1 }));

describe('an instance that shares out limits', () => {
  function createPlans() {
    const { clock, advance } = createTestClock();
    const plans = createAllocatorPlans({ instance: 'front-1', dataCentre: 'zone-1', clock });
    return { plans, advance };
  }

  it('grants nothing after it joined until no other asks by a list without it', () => {
    // Guards against two instances that grant the same share while their lists differ.
    const { plans, advance } = createPlans();
    const entries = createEntries(['front-1', 'front-2', 'front-3', 'front-4']);
    plans.updateInstances(entries, { mayOthersLag: true });
    const teams = Array.from({ length: 40 }, (_, index) => `team-${index}`);
    const count = () => teams.filter((team) => plans.countAllocators(team) !== undefined).length;
    expect(count()).toBe(0);
    advance(LIST_SETTLING_MILLISECONDS - 1);
    expect(count()).toBe(0);
    advance(1);
    expect(count()).toBeGreaterThan(0);
  });

  it('grants at once after a restart and at the first start of all', () => {
    // Guards against callers that are refused while every instance waits for the others.
    const { plans } = createPlans();
    plans.updateInstances(createEntries(['front-1']), { mayOthersLag: false });
    plans.updateInstances(createEntries(['front-1', 'front-2']), { mayOthersLag: false });
    expect(plans.countAllocators('team-1')).toBe(2);
  });

  it('stops once a list has another instance in its place', () => {
    const { plans } = createPlans();
    plans.updateInstances(createEntries(['front-1']), { mayOthersLag: false });
    const others = Array.from({ length: 40 }, (_, index) => `front-${index + 1}`);
    plans.updateInstances(createEntries(others), { mayOthersLag: true });
    const teams = Array.from({ length: 40 }, (_, index) => `team-${index}`);
    const left = teams.filter((team) => plans.countAllocators(team) !== undefined);
    expect(left.length).toBeLessThan(teams.length);
  });

  it('applies a lowered limit at once', () => {
    // Guards against a limit that binds only once the former burst is used up.
    const { clock } = createTestClock();
    let limit = { rate: 100, burst: 100 };
    const allocator = createPermitAllocator({
      clock,
      tolerance: TOLERANCE,
      findLimit: () => limit,
      countAllocators: () => 1,
    });
    expect(allocator.grant('north', 5).count).toBe(5);
    limit = { rate: 1, burst: 2 };
    expect(allocator.grant('north', 100).count).toBeLessThanOrEqual(3);
  });

  it('keeps no state for a team that it does not know', () => {
    // Guards against memory that grows with the names that others ask for.
    const { clock } = createTestClock();
    const asked: string[] = [];
    const allocator = createPermitAllocator({
      clock,
      tolerance: TOLERANCE,
      findLimit: () => undefined,
      countAllocators: (team) => asked.push(team),
    });
    expect(allocator.grant('nobody', 1)).toEqual({ count: 0, retryAfterMilliseconds: 500 });
    expect(asked).toEqual([]);
  });
});

describe('operations of a team', () => {
  /** A limiter whose allocators answer as the test says. */
  function createLimiter(answers: Record<string, PermitGrant | undefined>) {
    const { clock, advance } = createTestClock();
    const asked: string[] = [];
    const limiter = createTeamLimiter({
      team: 'north',
      clock,
      tolerance: TOLERANCE,
      random: () => 0,
      findAllocators: () => Object.keys(answers),
      askAllocator: async (allocator) => {
        asked.push(allocator);
        return answers[allocator];
      },
    });
    const request = async () => (await limiter.requestPermit({ rate: 60, burst: 60 })).type;
    return { limiter, request, asked, advance };
  }

  const exhausted = { count: 0, retryAfterMilliseconds: 100 };

  it('are admitted by the next allocator if the near one has nothing left or is silent', async () => {
    // Guards against a team that is refused within its limit.
    const { request, asked } = createLimiter({
      near: exhausted,
      silent: undefined,
      far: { count: 1, retryAfterMilliseconds: 0 },
    });
    expect(await request()).toBe('granted');
    expect(asked).toEqual(['near', 'silent', 'far']);
  });

  it('are refused without a message while every allocator has said when to come back', async () => {
    // Guards against a team over its limit whose refusals load those who share out limits.
    const { request, asked, advance, limiter } = createLimiter({ near: exhausted, far: exhausted });
    for (let index = 0; index < 50; index += 1) {
      expect(await request()).toBe('refused');
      advance(1);
    }
    expect(asked).toEqual(['near', 'far']);
    expect(limiter.counters).toEqual({ admitted: 0, refused: 50 });
  });

  it('need one message for several of a busy team', async () => {
    const granted: PermitGrant = { count: 9, retryAfterMilliseconds: 0 };
    const { request, asked, advance } = createLimiter({ near: granted });
    for (let index = 0; index < 9; index += 1) {
      expect(await request()).toBe('granted');
      advance(5);
    }
    expect(asked.length).toBeLessThan(4);
  });

  it('that come together each use a permit of their own', async () => {
    // Guards against one permit that admits all operations that wait for it.
    const { request } = createLimiter({ near: { count: 2, retryAfterMilliseconds: 100 } });
    const results = await Promise.all([request(), request(), request(), request()]);
    expect(results.filter((type) => type === 'granted').length).toBe(2);
  });
});
