import { join } from 'node:path';
import { createRandom } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'primary-promoted-again.toml'));

/** Drawn plays of CI; a longer run by hand sets the variable. */
const SEEDS = Number(process.env.WISTERIALIFT_WORLD_SEEDS ?? 4);

const instances = experiment.deployment.dataCentres.reduce(
  (sum, dataCentre) => sum + dataCentre.instances,
  0,
);

/** Draws how long a replica receives nothing and how long the primary is cut off, on a grid of 100 ms. */
function drawFaults(seed: number): PlannedFault[] {
  const random = createRandom(seed);
  const tenths = (from: number, to: number) => random.between(from * 10, to * 10) / 10;
  const deafAt = tenths(2, 4);
  return [
    { kind: 'deafReplicas', at: deafAt, seconds: tenths(3, 8), replicas: 1 },
    { kind: 'cutPrimary', at: deafAt + tenths(0.5, 2), seconds: tenths(2, 6), instances },
  ];
}

describe('a primary that is promoted again with writes that the term in between lacked', () => {
  // Guards against writes that return after their callers were told that nothing is kept.
  it('breaks no promise (seed 1)', async () => {
    const { broken } = await runExperiment(experiment, { seed: 1 });
    expect(broken).toEqual([]);
  });

  it.each(Array.from({ length: SEEDS }, (_, index) => index + 1))(
    'breaks none with times drawn from seed %i',
    async (seed) => {
      const { broken } = await runExperiment({ ...experiment, faults: drawFaults(seed) }, { seed });
      expect(broken).toEqual([]);
    },
  );
});
