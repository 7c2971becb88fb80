import type { ServiceLevel } from '@wisterialift/schema';
import { BUCKET_MILLISECONDS } from './burnCounters';
import type { BurnBucket, BurnSeries } from './burnCounters';

const MILLISECONDS_PER_MINUTE = 60_000;

/** Windows of the report in minutes, shortest first. @public */
export const BURN_WINDOWS_MINUTES = [5, 30, 60, 360] as const;

/** Points of the plotted history; covers six hours. */
const HISTORY_POINTS = 72;
const HISTORY_STEP_MINUTES = 5;

/**
 * Burn over one window. `rate` is the fraction of bad requests divided by the allowed fraction
 * (1 - objective), undefined if there were no requests; at 1 the objective is just met.
 *
 * @public
 */
export interface BurnWindow {
  minutes: number;
  good: number;
  bad: number;
  rate: number | undefined;
}

/** @public */
export type BurnAlarm = 'page' | 'ticket' | 'none';

/** @public */
export interface BurnReportLevel {
  level: ServiceLevel;
  windows: BurnWindow[];
  alarm: BurnAlarm;
  /** Burn rates of the last six hours in steps of five minutes, oldest first. */
  history: (number | undefined)[];
}

/** @public */
export interface BurnReport {
  generatedAt: string;
  instances: string[];
  /** Instances that did not answer; the counts do not include their requests. */
  missingInstances: string[];
  levels: BurnReportLevel[];
}

/** An alarm fires when the burn rates of both windows reach `rate`. */
interface AlarmRule {
  alarm: BurnAlarm;
  longMinutes: number;
  shortMinutes: number;
  rate: number;
}

/** Multi-window burn-rate alerts: fast burn pages an operator, slow burn creates a ticket. */
const ALARM_RULES: readonly AlarmRule[] = [
  { alarm: 'page', longMinutes: 60, shortMinutes: 5, rate: 14.4 },
  { alarm: 'ticket', longMinutes: 360, shortMinutes: 30, rate: 6 },
];

/** @public */
export interface InstanceBurn {
  instance: string;
  series: BurnSeries[];
}

/**
 * Sums the counts of several instances and calculates the burn of each level.
 *
 * @param options.now - milliseconds since the epoch.
 * @public
 */
export function createBurnReport(options: {
  burns: readonly InstanceBurn[];
  missingInstances: readonly string[];
  now: number;
}): BurnReport {
  const { burns, missingInstances, now } = options;
  const levels = new Map<string, BurnSeries>();
  burns
    .flatMap(({ series }) => series)
    .forEach(({ level, buckets }) => {
      const key = JSON.stringify(level);
      const merged = levels.get(key) ?? { level, buckets: [] };
      merged.buckets.push(...buckets);
      levels.set(key, merged);
    });
  return {
    generatedAt: new Date(now).toISOString(),
    instances: burns.map(({ instance }) => instance),
    missingInstances: [...missingInstances],
    levels: [...levels.values()].map((series) => reportLevel(series, now)),
  };
}

function reportLevel({ level, buckets }: BurnSeries, now: number): BurnReportLevel {
  const windows = BURN_WINDOWS_MINUTES.map((minutes) =>
    measureWindow({ level, buckets, minutes, end: now }),
  );
  const history = Array.from({ length: HISTORY_POINTS }, (_, index) => {
    const stepsBack = HISTORY_POINTS - 1 - index;
    const end = now - stepsBack * HISTORY_STEP_MINUTES * MILLISECONDS_PER_MINUTE;
    return measureWindow({ level, buckets, minutes: HISTORY_STEP_MINUTES, end }).rate;
  });
  return { level, windows, alarm: chooseAlarm(windows), history };
}

function measureWindow(options: {
  level: ServiceLevel;
  buckets: readonly BurnBucket[];
  minutes: number;
  end: number;
}): BurnWindow {
  const { level, buckets, minutes, end } = options;
  const last = Math.floor(end / BUCKET_MILLISECONDS);
  const first = last - (minutes * MILLISECONDS_PER_MINUTE) / BUCKET_MILLISECONDS;
  const counted = buckets.filter(({ bucket }) => bucket > first && bucket <= last);
  const good = counted.reduce((sum, bucket) => sum + bucket.good, 0);
  const bad = counted.reduce((sum, bucket) => sum + bucket.bad, 0);
  const total = good + bad;
  const rate = total === 0 ? undefined : bad / total / (1 - level.objective);
  return { minutes, good, bad, rate };
}

function chooseAlarm(windows: readonly BurnWindow[]): BurnAlarm {
  const getRate = (minutes: number): number =>
    windows.find((window) => window.minutes === minutes)?.rate ?? 0;
  const firing = ALARM_RULES.find(
    ({ longMinutes, shortMinutes, rate }) =>
      getRate(longMinutes) >= rate && getRate(shortMinutes) >= rate,
  );
  return firing?.alarm ?? 'none';
}
