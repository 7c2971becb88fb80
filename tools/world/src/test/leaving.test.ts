import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'last-member-leaves.toml'));

/** Broken promises that a failed test prints. */
const SHOWN = 3;

/** Faults that come while a member leaves. */
const OTHERS: Record<string, PlannedFault[]> = {
  'nothing else': [],
  'all instances killed': [{ kind: 'killAll', at: 9 }],
  'all instances without power': [{ kind: 'powerOffAll', at: 7, seconds: 1 }],
  'instances stopped in turn': [{ kind: 'rollingStops', at: 5, pause: 1.5 }],
  'the store away as it leaves': [{ kind: 'storeDown', at: 5, seconds: 3 }],
  'the store away afterwards': [{ kind: 'storeDown', at: 7, seconds: 8 }],
  'a directory that comes late': [
    { kind: 'lateDirectory', at: 3, seconds: 12, milliseconds: 4_000 },
  ],
  'lost answers': [{ kind: 'lostAnswers', at: 5, seconds: 10, share: 0.2 }],
  'a slow database': [{ kind: 'slowDatabase', at: 5, seconds: 10, factor: 8, member: 0 }],
};

async function playWith(faults: readonly PlannedFault[], seed: number) {
  const played: Experiment = { ...experiment, faults: [...experiment.faults, ...faults] };
  return runExperiment(played, { seed });
}

describe('the last member of a group that leaves', () => {
  it.each(Object.keys(OTHERS))('gets no new statements after its bound (%s)', async (name) => {
    // Guards against statements that reach a leaving database which nobody can replace.
    const { broken } = await playWith(OTHERS[name]!, 1);
    expect(broken.slice(0, SHOWN)).toEqual([]);
  });
});
