import { describe, expect, it } from 'vitest';
import { runConfigurationFuzz, runGroupFuzz } from '../lib/runFuzz';

// Sessions roam over three proxies while databases, proxies and links fail in any combination.
// `npm run fuzz -- --seed N --runs N` runs more of the same histories.
describe('stateful fuzzing', () => {
  it('finds no broken guarantee in histories of the group', () => {
    const { failures, counts } = runGroupFuzz({ seed: 1, runs: 200 });
    expect(failures).toEqual([]);
    expect(counts.acknowledgedWrites).toBeGreaterThan(5_000);
    expect(counts.promotions).toBeGreaterThan(40);
  });

  it('finds no broken guarantee in histories of the configuration', () => {
    const { failures, counts } = runConfigurationFuzz({ seed: 1, runs: 300 });
    expect(failures).toEqual([]);
    expect(counts.accepted).toBeGreaterThan(500);
    expect(counts.outdated).toBeGreaterThan(500);
  });
});
