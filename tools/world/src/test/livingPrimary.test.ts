import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'stale-without-primary.toml'));

/** Broken promises that a failed test prints. */
const SHOWN = 3;

const DEAFNESS: PlannedFault = { kind: 'deafReplicas', at: 5, seconds: 9, replicas: 1 };

async function play(faults: PlannedFault[]) {
  const { broken } = await runExperiment({ ...experiment, faults }, { seed: 1 });
  return broken.slice(0, SHOWN);
}

describe('a primary that lives beside a replica that receives nothing', () => {
  it('keeps its acknowledged writes as the replica that confirmed them ends', async () => {
    // Guards against promoting a replica over a primary that answers and holds more.
    for (const endsAt of [6, 9, 12]) {
      const leave = { at: 2, seconds: endsAt - 2, role: 'primary', isFinal: true } as const;
      expect(await play([{ kind: 'leave', ...leave }, DEAFNESS]), `${endsAt} s`).toEqual([]);
    }
  });

  it('keeps its acknowledged writes while that replica is there', async () => {
    expect(await play([DEAFNESS])).toEqual([]);
  });
});
