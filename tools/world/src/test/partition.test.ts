import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { ExperimentResult } from '../index';

const read = (name: string) => readExperiment(join('experiments', `${name}.toml`));

const play = (name: string, seed: number) => runExperiment(read(name), { seed });

/** Has callers that only read, so that no log grows, and a primary that stays on the directory. */
function playReadOnly(name: string, seed: number) {
  const { kinds, faults, ...rest } = read(name);
  return runExperiment(
    {
      ...rest,
      kinds: kinds.map((kind) => ({ ...kind, writeShare: 0 })),
      faults: faults.map((fault) => ({ ...fault, isUnlisted: false })),
    },
    { seed },
  );
}

/** Returns the lowest credit of a window between the usual end of a promotion and that of the cut. */
function findLowestCredit({ callers }: ExperimentResult): number {
  const credits = callers.windows
    .filter(({ fromSecond }) => fromSecond >= 8 && fromSecond < 14)
    .map(({ credit }) => credit);
  return Math.min(...credits);
}

describe('instances that are partitioned together with a primary from its replicas', () => {
  it.each([1, 2])('serve their callers through other instances (seed %i)', async (seed) => {
    // Guards against refusing callers for as long as the partition lasts, although another instance
    // reaches the group's new primary.
    const result = await play('split-primary', seed);
    expect(result.broken).toEqual([]);
    expect(findLowestCredit(result)).toBeGreaterThan(0.98);
  });

  it('do not keep the primary from being replaced while nobody writes', async () => {
    // Guards against clearing a primary that nobody can use, because its log does not differ.
    const result = await playReadOnly('split-primary', 1);
    expect(result.broken).toEqual([]);
    expect(findLowestCredit(result)).toBeGreaterThan(0.98);
  });
});

describe('instances that are partitioned from a primary that still leads its replicas', () => {
  it('serve their callers through other instances, without a promotion (seed 1)', async () => {
    // Guards against refusing writes while the primary, which other instances reach, is not replaced.
    const { callers, system, broken } = await play('primary-out-of-reach', 1);
    expect(broken).toEqual([]);
    expect(callers.refused).toBe(0);
    expect(system.promotions).toBe(0);
  });

  it('leave the primary in place while nobody writes', async () => {
    // Guards against taking a primary for dead because its log does not grow.
    const { callers, system, broken } = await playReadOnly('primary-out-of-reach', 1);
    expect(broken).toEqual([]);
    expect(callers.refused).toBe(0);
    expect(system.promotions).toBe(0);
  });
});
