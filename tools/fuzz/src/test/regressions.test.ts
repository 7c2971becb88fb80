import { describe, expect, it } from 'vitest';
import { runConfigurationFuzz } from '../lib/runFuzz';

describe('regressions found by fuzzing', () => {
  // An operator's patch is stored and the answer is lost; the operator hears "unknown" and submits
  // the same patch again while the platform is down. Told "certainly not accepted", the operator
  // would make the change a second time: the repetition forgot that the first one had been sent.
  it.each([800_889, 801_339, 801_843, 802_553, 803_311, 803_476])(
    'never calls a stored patch refused, seed %i',
    (seed) => {
      expect(runConfigurationFuzz({ seed, runs: 1 }).failures).toEqual([]);
    },
  );
});
