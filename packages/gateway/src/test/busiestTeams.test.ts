import { expect, it } from 'vitest';
import { listBusiestTeams } from '../lib/metrics/busiestTeams';

it('lists a bounded number of teams, the busiest first, and sums up the others', () => {
  // Guards against time series that grow with the number of teams.
  const counters = new Map(
    Array.from({ length: 60 }, (_, index) => [`team-${index}`, { admitted: index, refused: 1 }]),
  );
  const listed = listBusiestTeams(counters);
  expect(listed.length).toBe(51);
  expect(listed[0]).toEqual({ team: 'team-59', admitted: 59, refused: 1 });
  expect(listed.at(-1)).toEqual({ team: 'other', admitted: 45, refused: 10 });
});
