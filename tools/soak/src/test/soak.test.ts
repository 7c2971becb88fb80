import { describe, expect, it } from 'vitest';
import { createFaultPlan, runSoak } from '../index';

/** Enough for a slow machine; the verdict is on what was promised, not on how soon. */
const RECOVERY_MILLISECONDS = 60_000;

describe('the fault soak', () => {
  it('draws the same plan from a seed again', () => {
    expect(createFaultPlan(7, 8_000)).toEqual(createFaultPlan(7, 8_000));
  });

  it.each([1, 2])('breaks no promise with seed %i', { timeout: 120_000 }, async (seed) => {
    const options = { seed, length: 6_000, instances: 3, recovery: RECOVERY_MILLISECONDS };
    const { violations, acknowledged } = await runSoak(options);
    expect(violations).toEqual([]);
    expect(acknowledged).toBeGreaterThan(0);
  });

  it(
    'sends nothing new to databases that all leave, past their bound',
    { timeout: 120_000 },
    async () => {
      // Guards against statements that reach leaving databases which nobody can replace.
      const options = { seed: 1, length: 3_000, instances: 3, recovery: RECOVERY_MILLISECONDS };
      const { violations, acknowledged } = await runSoak({ ...options, isLeaving: true });
      expect(violations).toEqual([]);
      expect(acknowledged).toBeGreaterThan(0);
    },
  );

  it.each([[103, 'settings that changed right after a start ended the instance']])(
    'holds with seed %i, which failed once: %s',
    { timeout: 120_000 },
    async (seed) => {
      const options = { seed, length: 12_000, instances: 3, recovery: RECOVERY_MILLISECONDS };
      expect((await runSoak(options)).violations).toEqual([]);
    },
  );
});
