import { expect, it } from 'vitest';
import { createLatencyRecorder } from '../index';

it('series of different groups and kinds are counted apart, whatever their names hold', () => {
  // Guards against latencies that are reported for a database that has none of them.
  const recorder = createLatencyRecorder();
  recorder.record({ group: 'a/b', kind: 'c', access: 'read' }, 1);
  recorder.record({ group: 'a', kind: 'b/c', access: 'read' }, 1);
  expect(recorder.summaries().map(({ count }) => count)).toEqual([1, 1]);
});
