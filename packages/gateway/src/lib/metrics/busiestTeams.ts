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
  const ordered = [...counters]
    .map(([team, { admitted, refused }]) => ({ team, admitted, refused }))
    .sort((left, right) => right.admitted + right.refused - left.admitted - left.refused);
  const listed = ordered.slice(0, MAXIMUM_LISTED_TEAMS);
  const others = ordered.slice(MAXIMUM_LISTED_TEAMS);
  if (others.length === 0) return listed;
  const total = { team: OTHER_TEAMS, admitted: 0, refused: 0 };
  for (const { admitted, refused } of others) {
    total.admitted += admitted;
    total.refused += refused;
  }
  return [...listed, total];
}
