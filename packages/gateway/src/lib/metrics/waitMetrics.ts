import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import { addWaitCounters } from '../groups/waitStatistics';
import type { WaitCounters, WaitStatistics } from '../groups/waitStatistics';
import { listBusiest } from './busiestTeams';

/** Metrics of the waits for admission, by the counter that they show. */
const WAIT_METRICS: Record<keyof WaitCounters, { name: string; help: string }> = {
  waiting: { name: 'statements', help: 'statements that wait for admission to a member' },
  admitted: { name: 'admitted_total', help: 'statements admitted after a wait' },
  waitedMilliseconds: { name: 'milliseconds_total', help: 'waits of admitted statements, summed' },
  longestWaitMilliseconds: {
    name: 'longest_milliseconds',
    help: 'longest wait of a statement admitted in this minute or the one before',
  },
  refused: { name: 'refused_total', help: 'statements not admitted to a member in time' },
  displaced: { name: 'displaced_total', help: 'waiting statements refused for a new one' },
};

/** Registers the waits for admission by group and priority, and those of the busiest teams. */
export function registerWaitMetrics(
  registry: Registry,
  getWaitStatistics: () => Record<string, WaitStatistics>,
): void {
  for (const field of Object.keys(WAIT_METRICS) as (keyof WaitCounters)[]) {
    const { name, help } = WAIT_METRICS[field];
    const byPriority: Gauge = new Gauge({
      name: `wisterialift_wait_${name}`,
      help,
      labelNames: ['group', 'priority'],
      registers: [registry],
      collect: () => {
        for (const [group, statistics] of Object.entries(getWaitStatistics())) {
          for (const [priority, counters] of statistics.getPriorities()) {
            byPriority.set({ group, priority }, counters[field]);
          }
        }
      },
    });
    const byTeam: Gauge = new Gauge({
      name: `wisterialift_team_wait_${name}`,
      help: `${help}, of the busiest teams and all others`,
      labelNames: ['team'],
      registers: [registry],
      collect: () => {
        byTeam.reset();
        for (const { team, ...counters } of listBusiestWaits(getWaitStatistics())) {
          byTeam.set({ team }, counters[field]);
        }
      },
    });
  }
}

/** Lists the teams whose statements waited or were refused most often, in all groups together. */
export function listBusiestWaits(
  statistics: Record<string, WaitStatistics>,
): (WaitCounters & { team: string })[] {
  const teams = new Map<string, WaitCounters>();
  for (const { getTeams } of Object.values(statistics)) {
    for (const [team, counters] of getTeams()) {
      const others = teams.get(team);
      teams.set(team, others ? addWaitCounters(others, counters) : counters);
    }
  }
  return listBusiest(teams, {
    measure: ({ waiting, admitted, refused, displaced }) =>
      waiting + admitted + refused + displaced,
    combine: addWaitCounters,
  });
}
