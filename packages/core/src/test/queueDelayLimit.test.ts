import { describe, expect, it } from 'vitest';
import { createQueueDelayLimit } from '../index';
import { createLoadedDatabase, drawLogNormal } from './loadedDatabase';

const SEEDS = [1, 2, 3];
const TARGET = 10;

/** Two holders in the database's data centre, two near it and two far from it. */
const SIX_HOLDERS = [1, 1, 8, 8, 24, 24];

/** Three kinds of statements with means of 4, 11 and 19 ms. */
const drawMixed = (random: () => number): number => {
  const kind = random();
  if (kind < 0.25) return drawLogNormal(3, random);
  return drawLogNormal(kind < 0.75 ? 9 : 15, random);
};

/** Long statements with a mean of 36 ms. */
const drawLong = (random: () => number) => drawLogNormal(28, random);

const createSixHolders = (seed: number, drawServiceTime = drawMixed) =>
  createLoadedDatabase({ slots: 4, roundTrips: SIX_HOLDERS, drawServiceTime, seed });

const createLimit = (changes = {}) =>
  createQueueDelayLimit({ floor: 1, ceiling: 6, targetDelayMilliseconds: TARGET, ...changes });

/** Records statements that end one after another, 10 ms apart, from `startAt` on. */
function recordCompletions(
  limit: ReturnType<typeof createLimit>,
  options: { count: number; latency: number; startAt?: number },
): void {
  const { count, latency, startAt = 0 } = options;
  for (let index = 0; index < count; index += 1) {
    const completedAt = startAt + (index + 1) * 10;
    limit.recordCompletion({ sentAt: completedAt - latency, completedAt, isLimited: true });
  }
}

describe('the limit by queue delay at a shared database', () => {
  it.each(SEEDS)('keeps the slots busy and the delay near the target, seed %i', (seed) => {
    // Guards against a standing queue in which the holders' order of statements has no effect, and
    // against a target that creeps upwards because the queue itself is taken for the latency.
    const database = createSixHolders(seed);
    database.run(2_500);
    for (const milliseconds of [20_000, 60_000, 20_000]) {
      const { utilization, meanDelay } = database.run(milliseconds);
      expect(utilization).toBeGreaterThan(0.97);
      expect(meanDelay).toBeGreaterThan(TARGET / 2);
      expect(meanDelay).toBeLessThan(TARGET * 2);
    }
  });

  it.each(SEEDS)(
    'lets one holder with all the demand use the slots within 500 ms, seed %i',
    (seed) => {
      // Guards against a fixed share, which leaves the slots of holders without demand empty.
      const database = createSixHolders(seed);
      database.holders.forEach((holder, index) =>
        Object.assign(holder, { demand: index ? 0 : 40 }),
      );
      database.run(500);
      expect(database.run(3_000).utilization).toBeGreaterThan(0.95);
    },
  );

  it.each(SEEDS)('takes over the shares of four silent holders within 500 ms, seed %i', (seed) => {
    // Guards against growth so slow that the share of a holder that died stays empty for seconds.
    const database = createSixHolders(seed);
    database.run(3_000);
    for (const index of [0, 3, 4, 5]) Object.assign(database.holders[index]!, { demand: 0 });
    database.run(500);
    expect(database.run(2_000).utilization).toBeGreaterThan(0.95);
  });

  it.each(SEEDS)('does not starve holders at 24 ms, seed %i', (seed) => {
    // Guards against growth by completions alone, which gives near holders all the slots.
    const database = createSixHolders(seed);
    database.run(2_500);
    const { completed } = database.run(60_000);
    const mean = completed.reduce((sum, count) => sum + count) / completed.length;
    expect(Math.min(...completed)).toBeGreaterThan(mean / 2);
  });

  it.each(SEEDS)('uses the slots for long statements of far holders, seed %i', (seed) => {
    // Guards against taking long run times for a queue: the limit fell to the floor, and the slots
    // were empty during the round trips.
    const database = createSixHolders(seed, drawLong);
    for (const index of [0, 1, 2, 3]) Object.assign(database.holders[index]!, { demand: 0 });
    database.run(1_000);
    expect(database.run(20_000).utilization).toBeGreaterThan(0.8);
  });

  it.each(SEEDS)('forgets a slow-down by a factor of 3, seed %i', (seed) => {
    // Guards against taking the latency of a slow database for the latency without a queue.
    const database = createSixHolders(seed);
    database.run(2_500);
    database.setSlowness(3);
    database.run(20_000);
    database.setSlowness(1);
    database.run(1_000);
    const { utilization, meanDelay } = database.run(10_000);
    expect(utilization).toBeGreaterThan(0.97);
    expect(meanDelay).toBeLessThan(TARGET * 2);
  });
});

describe('the limit by queue delay', () => {
  it('stays between floor and ceiling and follows changes of them', () => {
    const limit = createLimit({ floor: 4 / 3 });
    recordCompletions(limit, { count: 100, latency: 5 });
    expect(limit.getLimit()).toBe(6);
    recordCompletions(limit, { count: 500, latency: 80, startAt: 1_000 });
    expect([limit.getLimit(), limit.getQueueDelay()]).toEqual([1, 75]);
    limit.update({ floor: 4, ceiling: 6, targetDelayMilliseconds: TARGET });
    expect(limit.getLimit()).toBe(4);
    limit.update({ floor: 1, ceiling: 2, targetDelayMilliseconds: TARGET });
    expect(limit.getLimit()).toBe(2);
  });

  it('does not grow while no statement waits', () => {
    const limit = createLimit();
    for (let at = 10; at < 1_000; at += 10) {
      limit.recordCompletion({ sentAt: at - 5, completedAt: at, isLimited: false });
    }
    expect(limit.getLimit()).toBe(1);
  });

  it('does not learn the latency from a queue that stands for 30 s', () => {
    // Guards against growth into a queue of other senders: after 10 s, the lowest latency of that
    // time is the one with the queue.
    const limit = createLimit();
    recordCompletions(limit, { count: 100, latency: 5 });
    recordCompletions(limit, { count: 3_000, latency: 105, startAt: 1_000 });
    expect(limit.getLimit()).toBe(1);
    expect(limit.getQueueDelay()).toBeGreaterThan(80);
    recordCompletions(limit, { count: 100, latency: 5, startAt: 31_000 });
    expect(limit.getLimit()).toBe(6);
  });

  it('learns a longer way to the member within 40 s', () => {
    // Guards against a limit that stays at the floor after the network path has changed.
    const limit = createLimit();
    recordCompletions(limit, { count: 100, latency: 5 });
    recordCompletions(limit, { count: 4_000, latency: 20, startAt: 1_000 });
    expect(limit.getLimit()).toBe(6);
  });

  it('grows at most once in 25 ms', () => {
    // Guards against growth before the effect of the former step can be measured.
    const limit = createLimit();
    for (let at = 1; at <= 24; at += 1) {
      limit.recordCompletion({ sentAt: at - 1, completedAt: at, isLimited: true });
    }
    expect(limit.getLimit()).toBeLessThanOrEqual(2);
  });

  it('shrinks once for the busy answers of one window', () => {
    // Guards against falling to the floor at one full queue, which refuses many statements at once.
    const limit = createLimit();
    recordCompletions(limit, { count: 100, latency: 5 });
    limit.recordBusy({ sentAt: 1_000, refusedAt: 1_005 });
    limit.recordBusy({ sentAt: 1_006, refusedAt: 1_011 });
    expect(limit.getLimit()).toBe(4);
    recordCompletions(limit, { count: 8, latency: 5, startAt: 1_020 });
    const grown = limit.getLimit();
    limit.recordBusy({ sentAt: 1_001, refusedAt: 1_101 });
    expect(limit.getLimit()).toBe(grown);
    for (let index = 0; index < 100; index += 1) {
      limit.recordBusy({ sentAt: 1_200 + index * 5, refusedAt: 1_205 + index * 5 });
    }
    expect(limit.getLimit()).toBe(1);
  });

  it('ignores the statements that were in progress during a suspension', () => {
    // Guards against shrinking because the answers waited for the process, and against learning
    // latencies that are too short because the monotonic clock stopped.
    const limit = createLimit();
    recordCompletions(limit, { count: 100, latency: 5 });
    limit.discardSamples(3_000);
    for (let index = 0; index < 50; index += 1) {
      const completedAt = 3_001 + index;
      limit.recordCompletion({ sentAt: 1_000, completedAt, isLimited: true });
      limit.recordCompletion({ sentAt: 2_999.9, completedAt: 3_000.1, isLimited: true });
    }
    expect(limit.getLimit()).toBe(6);
    recordCompletions(limit, { count: 100, latency: 5, startAt: 3_100 });
    expect([limit.getLimit(), limit.getQueueDelay()]).toEqual([6, 0]);
  });
});
