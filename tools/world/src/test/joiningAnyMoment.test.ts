import { join } from 'node:path';
import { createRandom } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'last-member-leaves.toml'));

/** Seeds that CI plays; a longer run by hand sets the variable. */
const SEEDS = Number(process.env.WISTERIALIFT_WORLD_SEEDS ?? 8);

/** Broken promises that a failed test prints. */
const SHOWN = 3;

/** Ways in which instances do not hear of members that join, from a time in seconds on. */
const DEAFNESS: ((at: number, random: Random) => PlannedFault)[] = [
  (at, random) => ({
    kind: 'lateDirectory',
    at,
    seconds: random.between(3, 9),
    milliseconds: random.between(500, 6_000),
    instances: random.between(1, 4),
  }),
  (at, random) => ({
    kind: 'storeCut',
    at,
    seconds: random.between(3, 20),
    instances: random.between(1, 3),
  }),
  (at, random) => ({ kind: 'storeDown', at, seconds: random.between(1, 6) }),
  (at, random) => ({ kind: 'killInstance', at, count: random.between(1, 4) }),
  (at) => ({ kind: 'killAll', at }),
];

/** Ways in which the primary comes to be replaced. */
const LOSSES: ((at: number, random: Random) => PlannedFault)[] = [
  (at, random) => ({
    kind: 'leave',
    at,
    seconds: random.between(7, 10),
    role: 'primary',
    groups: 1,
  }),
  (at, random) => ({
    kind: 'cutPrimary',
    at,
    seconds: random.between(4, 18),
    instances: random.between(0, 3),
    groups: 1,
  }),
];

function drawFaults(random: Random): PlannedFault[] {
  const goneFor = random.between(5, 12);
  const returnsAt = 1 + goneFor;
  const near = () => returnsAt + random.between(-3_000, 4_000) / 1_000;
  return [
    {
      kind: 'loseReplicas',
      at: 1,
      seconds: goneFor,
      pause: random.between(0, 4_000) / 1_000,
      groups: 1,
    },
    ...Array.from({ length: random.between(1, 2) }, () => random.pick(DEAFNESS)(near(), random)),
    random.pick(LOSSES)(near(), random),
  ];
}

describe('members that join at any moment', () => {
  it.each(Array.from({ length: SEEDS }, (_, index) => index + 1))(
    'have every acknowledged write, beside instances that hear of them late (seed %i)',
    async (seed) => {
      // Guards against instances that rely on different members while the primary is replaced.
      const faults = drawFaults(createRandom(seed));
      const drawn: Experiment = { ...experiment, faults };
      const { broken } = await runExperiment(drawn, { seed });
      // Nobody tells an instance that is cut off from the store that a member leaves.
      const brokenInTouch = broken.filter(({ promise }) => promise !== 'leaving');
      expect(brokenInTouch.slice(0, SHOWN), JSON.stringify(faults)).toEqual([]);
    },
  );
});
