import { join } from 'node:path';
import { createRandom } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'last-member-leaves.toml'));

/** Seeds that CI plays; a longer run by hand sets the variable. */
const SEEDS = Number(process.env.WISTERIALIFT_WORLD_SEEDS ?? 6);

const SHOWN = 3;

/** Faults beside the members that leave, by what draws them for a time in seconds. */
const DRAWS: ((at: number, random: Random) => PlannedFault)[] = [
  (at) => ({ kind: 'killAll', at }),
  (at, random) => ({ kind: 'killInstance', at, count: random.between(1, 3) }),
  (at) => ({ kind: 'powerOffAll', at, seconds: 1 }),
  (at, random) => ({ kind: 'powerOffInstance', at, seconds: random.between(1, 6) }),
  (at, random) => ({ kind: 'rollingStops', at, pause: random.between(1, 3) }),
  (at, random) => ({ kind: 'storeDown', at, seconds: random.between(1, 9) }),
  (at, random) => ({
    kind: 'lateDirectory',
    at,
    seconds: random.between(2, 8),
    milliseconds: random.between(500, 5_000),
  }),
  (at, random) => ({ kind: 'lostAnswers', at, seconds: random.between(2, 8), share: 0.2 }),
  (at, random) => ({
    kind: 'lag',
    at,
    seconds: random.between(2, 6),
    replicas: 2,
    milliseconds: 3_000,
  }),
  (at, random) => ({
    kind: 'slowDatabase',
    at,
    seconds: random.between(2, 8),
    factor: random.between(2, 10),
    member: random.between(0, 2),
  }),
];

function drawFaults(random: Random): PlannedFault[] {
  const leaves: PlannedFault = {
    kind: 'leave',
    at: random.between(3, 9),
    seconds: random.between(7, 12),
    role: random.pick(['primary', 'replica'] as const),
    groups: random.between(1, 2),
  };
  const isAlone = random.chance(0.6);
  const alone: PlannedFault[] = isAlone ? [{ kind: 'loseReplicas', at: 1 }] : [];
  const others = Array.from({ length: random.between(1, 3) }, () =>
    random.pick(DRAWS)(random.between(2, 16), random),
  );
  return [...alone, { ...leaves, role: isAlone ? 'primary' : leaves.role }, ...others];
}

async function expectNothingBroken(seed: number): Promise<void> {
  const faults = drawFaults(createRandom(seed));
  const drawn: Experiment = { ...experiment, faults };
  const { broken } = await runExperiment(drawn, { seed });
  expect(broken.slice(0, SHOWN), JSON.stringify(faults)).toEqual([]);
}

describe('members that leave at any moment', () => {
  it.each(Array.from({ length: SEEDS }, (_, index) => index + 1))(
    'break no promise beside other faults (seed %i)',
    async (seed) => {
      // Guards against orders of events that no planned case has.
      await expectNothingBroken(seed);
    },
  );

  it('break no promise where the store is away as a successor starts (seed 54)', async () => {
    // Guards against counting statements to the successor as if its former life went on.
    await expectNothingBroken(54);
  });
});
