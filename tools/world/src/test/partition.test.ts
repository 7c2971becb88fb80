import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';

const play = (name: string, seed: number) =>
  runExperiment(readExperiment(join('experiments', `${name}.toml`)), { seed });

describe('instances that are partitioned together with a primary from its replicas', () => {
  it.each([1, 2])('serve their callers through other instances (seed %i)', async (seed) => {
    // Guards against refusing callers for as long as the partition lasts, although another instance
    // reaches the group's new primary.
    const { callers, broken } = await play('split-primary', seed);
    const isAfterPromotion = ({ fromSecond }: { fromSecond: number }) =>
      fromSecond >= 8 && fromSecond < 14;
    const credits = callers.windows.filter(isAfterPromotion).map(({ credit }) => credit);
    expect(broken).toEqual([]);
    expect(Math.min(...credits)).toBeGreaterThan(0.98);
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
});
