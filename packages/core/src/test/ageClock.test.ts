import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DEFAULT_ENGINE_POLICY, createGroupEngine } from '../index';
import type { ClockReadings, EngineEffect } from '../index';
import { createAgeClock } from '../lib/timing/ageClock';
import { createDatabase } from './engineScenario';

/** One interval between two readings; the time of day has whole milliseconds. */
const INTERVAL = fc.record({
  running: fc.double({ min: 0, max: 500, noNaN: true }),
  suspended: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 10_000 })),
  step: fc.oneof(
    { weight: 4, arbitrary: fc.constant(0) },
    fc.integer({ min: -20_000, max: 20_000 }),
  ),
});

describe('the age clock', () => {
  it('never makes an age look smaller than it is', () => {
    fc.assert(
      fc.property(fc.array(INTERVAL, { maxLength: 20 }), (intervals) => {
        const clock = createAgeClock();
        const seen: { at: number; wall: number; age: number }[] = [];
        let at = 0;
        let monotonic = 0;
        let offset = 1_000_000;
        for (const { running, suspended, step } of [
          { running: 0, suspended: 0, step: 0 },
          ...intervals,
        ]) {
          // A step that takes back a suspension, but for about 100 ms, shows on neither clock.
          const isHidden = step < 0 && suspended > 0 && Math.abs(suspended + step) < 110;
          const stepped = isHidden ? 0 : step;
          at += running + suspended;
          monotonic += running;
          offset += stepped;
          const wall = Math.floor(at + offset);
          clock.advance({ monotonic, wall });
          for (const former of seen) {
            const age = Math.max(at - former.at, wall - former.wall - 1);
            if (former.age >= clock.computeEarliest(age - 1)) {
              throw new Error(`an age of ${age} ms counts as ${age - 1}`);
            }
          }
          seen.push({ at, wall, age: clock.now() });
        }
      }),
      { numRuns: 3_000, seed: 1 },
    );
  });

  it('does not run ahead by the resolution of the time of day', () => {
    const clock = createAgeClock();
    for (let monotonic = 0; monotonic < 10_000; monotonic += 0.3) {
      clock.advance({ monotonic, wall: Math.floor(monotonic + 0.5) });
    }
    expect(clock.now()).toBeLessThan(10_000);
  });
});

describe('an answer in flight during a suspension', () => {
  it.each([
    { suspended: 0, isServed: true },
    { suspended: 5_000, isServed: false },
  ])('of $suspended ms is as old as its request', ({ suspended, isServed }) => {
    const engine = createGroupEngine({
      group: 'archivio-1',
      instance: 'p1',
      dataCentre: 'dc-b1',
      databases: ['a1', 'b1', 'c1'].map(createDatabase),
      policy: DEFAULT_ENGINE_POLICY,
      random: () => 0.5,
    });
    const position = { term: 1, index: 1 };
    const asked = engine
      .handle({ type: 'timerFired' }, { monotonic: 0, wall: 0 })
      .filter((effect) => effect.type === 'askStatus');
    const readings: ClockReadings = { monotonic: 2, wall: 2 + suspended };
    asked.forEach(({ questionId, member }) => {
      const status = {
        member,
        incarnation: member,
        role: member === 'a1' ? ('primary' as const) : ('replica' as const),
        currentTerm: 1,
        logEnd: position,
        applied: position,
        termStarts: [{ term: 1, start: 0 }],
      };
      engine.handle({ type: 'statusAnswered', questionId, status }, readings);
    });
    const request = {
      requestId: 'read-1',
      caller: 'consorzio',
      weight: 1,
      kind: 'default',
      access: 'read' as const,
      maximumStalenessMilliseconds: 2_000,
      arrivedAt: 2,
      deadlineAt: 1_000,
      priority: 5,
      isRepeatable: true,
    };
    const effects: EngineEffect[] = engine.handle({ type: 'requestArrived', request }, readings);
    expect(effects.some(({ type }) => type === 'runStatement')).toBe(isServed);
  });
});
