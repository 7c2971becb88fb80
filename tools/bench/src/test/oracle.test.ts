import { expect, test } from 'vitest';
import type { TrialDatabase } from '../lib/cluster/startDatabase';
import { createOracle } from '../lib/load/createOracle';
import type { WriteOutcome } from '../lib/load/createOracle';

/** A primary that holds each id as often as it is listed. */
function holding(...ids: string[]): TrialDatabase {
  const counts = new Map<string, number>();
  ids.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
  const rows = [...counts].map(([id, count]) => ({ id, count }));
  return { readRows: async () => rows } as unknown as TrialDatabase;
}

test.each<[string, WriteOutcome, string[], string[]]>([
  ['an acknowledged write that is there', 'acknowledged', ['a'], []],
  ['an acknowledged write that is gone', 'acknowledged', [], ['lost']],
  ['an acknowledged write that ran twice', 'acknowledged', ['a', 'a'], ['doubled']],
  ['an unknown write, there or not', 'unknown', [], []],
  ['an unknown write that ran twice', 'unknown', ['a', 'a'], ['doubled']],
  ['a write that was not run, and is there', 'notRun', ['a'], ['ranThoughDenied']],
  ['a discarded write that is there', 'discarded', ['a'], ['ranThoughDenied']],
  ['a discarded write that is gone', 'discarded', [], []],
])('the oracle judges %s', async (_, outcome, held, expected) => {
  const oracle = createOracle();
  oracle.recordWrite({ group: 'g', id: 'a', outcome });
  await oracle.checkGroup('g', holding(...held));
  const found = Object.entries(oracle.violations()).filter(([, count]) => count > 0);
  expect(found.map(([name]) => name)).toEqual(expected);
});

test('the oracle counts a read that misses an acknowledged write of its session', () => {
  const oracle = createOracle();
  oracle.checkRead(['a', 'b'], new Set(['a', 'b', 'c']));
  expect(oracle.violations().staleRead).toBe(0);
  oracle.checkRead(['a', 'b'], new Set(['a']));
  expect(oracle.violations().staleRead).toBe(1);
});
