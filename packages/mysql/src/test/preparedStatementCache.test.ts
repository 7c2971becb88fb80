import { expect, it } from 'vitest';
import { createPreparedStatementCache } from '../lib/upstream/preparedStatementCache';

it('a connection closes each statement that its cache no longer has', () => {
  // Guards against statements that pile up at a database until it refuses to prepare any.
  const cache = createPreparedStatementCache(2);
  expect([cache.add('a', 1), cache.add('b', 2)]).toEqual([[], []]);
  expect(cache.add('a', 3)).toEqual([1]);
  expect(cache.get('a')).toBe(3);
  expect(cache.add('c', 4)).toEqual([2]);
});
