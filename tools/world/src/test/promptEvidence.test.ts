import { join } from 'node:path';
import type { LoadControl } from '@wisterialift/gateway';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';

const experiment = readExperiment(join('experiments', 'scarce-primary.toml'));

/**
 * Credit of the kind with the tightest goal if 5 % of its operations are late, the target outside of a
 * burst: late ones earn 0.58 of 4.9.
 */
const TARGET_CREDIT = 1 - 0.05 * (1 - 0.58 / 4.9);

/** Plays calm seconds with the given load controls; returns the credit of the worst kind. */
async function playCalm(loadControls: LoadControl[], seed: number): Promise<number> {
  const deployment = { ...experiment.deployment, loadControls: new Set(loadControls) };
  const calm = { ...experiment, deployment, seconds: 10, faults: [] };
  const { broken, callers } = await runExperiment(calm, { seed });
  expect(broken).toEqual([]);
  return callers.worstKind;
}

describe('operations with a tight goal on a calm day', () => {
  it.each([1, 2])('are in time where evidence is polled for early (seed %i)', async (seed) => {
    // Guards against transactions that wait for evidence until their goal has passed.
    expect(await playCalm(['promptEvidence'], seed)).toBeGreaterThan(TARGET_CREDIT);
  });

  it('are late more often without it', async () => {
    expect(await playCalm([], 1)).toBeLessThan(TARGET_CREDIT);
  });
});
