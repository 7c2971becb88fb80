import { join } from 'node:path';
import { createRandom } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { PlannedFault } from '../lib/experiment/experimentSchema';

const experiment = readExperiment(join('experiments', 'busy-team.toml'));

/** Plays the teams with other faults, and gives the promises that were broken. */
async function play(faults: PlannedFault[], seed: number) {
  const { broken } = await runExperiment({ ...experiment, seconds: 16, faults }, { seed });
  return broken;
}

const busyTeam: PlannedFault = { kind: 'busyTeam', at: 1, seconds: 14, rank: 1, factor: 8 };

describe('statements of teams', () => {
  it.each([1, 2])(
    'run within keys and limits while all instances lose power (seed %i)',
    async (seed) => {
      // Guards against connections shared between teams, revoked keys, and limits that are exceeded
      // after a loss of all that was granted.
      const { broken, callers } = await runExperiment(experiment, { seed });
      expect(broken).toEqual([]);
      expect(callers.credit).toBeGreaterThan(0.5);
    },
  );

  it.each([1, 2])('keep the limit while instances are killed in turn (seed %i)', async (seed) => {
    // Guards against an instance that shares out a limit anew after each start.
    const kills = [3, 4, 5, 6, 7, 8].map((at): PlannedFault => ({
      kind: 'killInstance',
      at,
      count: 9,
    }));
    expect(await play([busyTeam, ...kills], seed)).toEqual([]);
  });

  it.each([1, 2])('keep a limit that was lowered, and a revocation (seed %i)', async (seed) => {
    // Guards against a limit or a key that binds only at instances that hear of it at once.
    const faults: PlannedFault[] = [
      busyTeam,
      { kind: 'changeLimit', at: 3, rank: 1, factor: 0.1 },
      { kind: 'revokeTeam', at: 4, rank: 2 },
      { kind: 'storeCut', at: 2.9, seconds: 6, instances: 5 },
    ];
    expect(await play(faults, seed)).toEqual([]);
  });

  it.each([1, 2, 3, 4])(
    'keep keys and limits that change at any moment of restarts (seed %i)',
    async (seed) => {
      // Guards against a change that an instance misses because it starts, stops or is cut off meanwhile.
      const random = createRandom(seed);
      const at = () => random.between(10, 90) / 10;
      const faults: PlannedFault[] = [
        busyTeam,
        { kind: 'rollingStops', at: at(), pause: 0.4 },
        { kind: 'killInstance', at: at(), count: random.between(1, 14) },
        { kind: 'storeCut', at: at(), seconds: 3, instances: random.between(1, 14) },
        { kind: 'changeLimit', at: at(), rank: 1, factor: 0.3 },
        { kind: 'revokeTeam', at: at(), rank: 2 },
        { kind: 'changeLimit', at: at(), rank: 4, factor: 2 },
      ];
      expect(await play(faults, seed)).toEqual([]);
    },
  );
});
