import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'last-member-leaves.toml'));

/** Broken promises that a failed test prints. */
const SHOWN = 3;

/** A group is down to its primary; replicas join, then it leaves, and two instances hear of it late. */
const FAULTS: PlannedFault[] = [
  { kind: 'loseReplicas', at: 1, seconds: 11, groups: 1 },
  { kind: 'lateDirectory', at: 11, seconds: 6, milliseconds: 4_500, instances: 2 },
  { kind: 'leave', at: 13, seconds: 10, role: 'primary', groups: 1 },
];

describe('members that join a group of one', () => {
  it('have every write that was acknowledged by instances which do not know them', async () => {
    // Guards against a single member's word where another instance promotes one that joined.
    const played: Experiment = { ...experiment, faults: FAULTS };
    const { broken } = await runExperiment(played, { seed: 1 });
    expect(broken.slice(0, SHOWN)).toEqual([]);
  });
});
