import { createFairOrder } from '@wisterialift/core';
import type { FairOrderStatement } from '@wisterialift/core';

/** Cost of the operations of a fair order with a constant number of waiting statements. */
export interface ChoiceCosts {
  statements: number;
  teams: number;
  /** Median microseconds by operation. */
  medianMicroseconds: Record<string, number>;
  /** Mean and 99th percentile of the choice, which include pauses of the process. */
  meanChoiceMicroseconds: number;
  p99ChoiceMicroseconds: number;
}

/** Sizes up to 10,000 waiting statements of 1,000 teams, tenfold each, to show the growth. */
const SIZES = [
  { statements: 100, teams: 10 },
  { statements: 1_000, teams: 100 },
  { statements: 10_000, teams: 1_000 },
];

const PRIORITIES = 3;
const ROUNDS = 20_000;
const GOALS_MILLISECONDS = [400, 600, 1_500];
const OPERATIONS = ['choose', 'push', 'countAhead', 'listDisplaceable', 'remove'] as const;

/** Measures each operation while the number of waiting statements stays the same. */
export function measureChoices(): ChoiceCosts[] {
  measureSize(SIZES[0]!);
  return SIZES.map(measureSize);
}

function measureSize({ statements, teams }: (typeof SIZES)[number]): ChoiceCosts {
  const order = createFairOrder<FairOrderStatement>({
    findWeight: (team = '') => 1 + (Number(team) % 7),
  });
  let now = 0;
  const createStatement = (index: number): FairOrderStatement => ({
    priority: index % PRIORITIES,
    team: String((index * 31) % teams),
    arrivedAt: now,
    goal: GOALS_MILLISECONDS[index % PRIORITIES]!,
  });
  const durations = Object.fromEntries(OPERATIONS.map((name) => [name, [] as number[]]));
  const measure = <Result>(name: (typeof OPERATIONS)[number], run: () => Result): Result => {
    const startedAt = performance.now();
    const result = run();
    durations[name]!.push((performance.now() - startedAt) * 1_000);
    return result;
  };
  for (let index = 0; index < statements; index += 1) {
    now += 0.05;
    order.push(createStatement(index));
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    now += 0.05;
    const time = { now, expectedRunTime: 20 };
    const [added, removed] = [createStatement(round), createStatement(round + 1)];
    measure('countAhead', () => order.countAhead(added, time));
    measure('push', () => order.push(added));
    measure('listDisplaceable', () => order.listDisplaceable(added, time));
    measure('choose', () => order.takeNext(() => true, time));
    order.push(removed);
    measure('remove', () => order.remove(removed));
  }
  const choices = durations.choose!;
  return {
    statements,
    teams,
    medianMicroseconds: Object.fromEntries(
      OPERATIONS.map((name) => [name, findQuantile(durations[name]!, 0.5)]),
    ),
    meanChoiceMicroseconds: calculateMean(choices),
    p99ChoiceMicroseconds: findQuantile(choices, 0.99),
  };
}

function findQuantile(values: readonly number[], quantile: number): number {
  const ordered = [...values].sort((left, right) => left - right);
  return ordered[Math.floor(ordered.length * quantile)]!;
}

function calculateMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Writes one line for each size with medians, and the mean and 99th percentile of a choice. */
export function renderChoices(costs: readonly ChoiceCosts[]): string {
  const head = ['statements', 'teams', ...OPERATIONS, 'choose mean', 'choose p99'];
  const rows = costs.map(({ statements, teams, medianMicroseconds, ...choice }) => [
    String(statements),
    String(teams),
    ...OPERATIONS.map((name) => medianMicroseconds[name]!.toFixed(2)),
    choice.meanChoiceMicroseconds.toFixed(2),
    choice.p99ChoiceMicroseconds.toFixed(2),
  ]);
  return [head, ...rows]
    .map((cells) => `${cells.map((cell) => cell.padStart(17)).join('')}\n`)
    .join('');
}
