import type { LimitCounters } from '../limits/teamLimiter';

/** Operations of one team, or of all those that are not listed by name. */
export interface TeamOperations extends LimitCounters {
  team: string;
}

/** Teams listed by name, so that the number of time series does not grow with that of teams. */
const MAXIMUM_LISTED_TEAMS = 50;

const OTHER_TEAMS = 'other';

/** Lists the teams with the most operations; sums up the others. */
export function listBusiestTeams(counters: ReadonlyMap<string, LimitCounters>): TeamOperations[] {
  return listBusiest(counters, {
    measure: ({ admitted, refused }) => admitted + refused,
    combine: (left, right) => ({
      admitted: left.admitted + right.admitted,
      refused: left.refused + right.refused,
    }),
  });
}

/** Lists the teams with the largest measure; combines the counters of the others. */
export function listBusiest<Counters extends object>(
  counters: ReadonlyMap<string, Counters>,
  functions: {
    measure: (counters: Counters) => number;
    combine: (left: Counters, right: Counters) => Counters;
  },
): (Counters & { team: string })[] {
  const { measure, combine } = functions;
  const ordered = [...counters].sort(([, left], [, right]) => measure(right) - measure(left));
  const listed = ordered.slice(0, MAXIMUM_LISTED_TEAMS).map(([team, own]) => ({ ...own, team }));
  const others = ordered.slice(MAXIMUM_LISTED_TEAMS).map(([, own]) => own);
  if (others.length === 0) return listed;
  return [...listed, { ...others.reduce(combine), team: OTHER_TEAMS }];
}
