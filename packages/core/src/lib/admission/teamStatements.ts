import { createSortedSet } from './sortedSet';
import type { SortedSet } from './sortedSet';

/** A statement that waits in a fair order; times are in milliseconds of one clock. @public */
export interface FairOrderStatement {
  /** Lower numbers go first. */
  priority: number;
  /** Team of the caller; undefined if it belongs to none. */
  team?: string;
  arrivedAt: number;
  /** Latency goal. */
  goal: number;
  /** Whether it runs on the connection of its open transaction. */
  hasConnection?: boolean;
}

/** Time of an operation of a fair order, in milliseconds. @public */
export interface FairOrderTime {
  now: number;
  /** Expected time from the choice of a statement to its answer. */
  expectedRunTime: number;
}

/** A waiting statement; `sequence` orders those that arrived at the same time. */
export interface Entry<Statement extends FairOrderStatement> {
  statement: Statement;
  sequence: number;
}

/** Waiting statements of one team at one priority. */
export interface TeamStatements<Statement extends FairOrderStatement> {
  add: (entry: Entry<Statement>) => void;
  remove: (entry: Entry<Statement>) => void;
  size: () => number;
  getFirst: (time: FairOrderTime) => Entry<Statement> | undefined;
  getLast: (time: FairOrderTime) => Entry<Statement> | undefined;
  /** Number of the statements that precede one, which may be absent. */
  countBefore: (entry: Entry<Statement>, time: FairOrderTime) => number;
}

export function compareArrival(
  left: Entry<FairOrderStatement>,
  right: Entry<FairOrderStatement>,
): number {
  return left.statement.arrivedAt - right.statement.arrivedAt || left.sequence - right.sequence;
}

/**
 * Creates the order within a team: statements that can still meet their goal, oldest first, then late
 * ones, oldest first.
 *
 * Among statements with the same goal, the late ones are the oldest. One sorted set for each goal
 * therefore finds both parts by the current time, and no statement is moved when it becomes late. A
 * team has few goals, since they belong to routes.
 */
export function createTeamStatements<
  Statement extends FairOrderStatement,
>(): TeamStatements<Statement> {
  const byGoal = new Map<number, SortedSet<Entry<Statement>>>();
  let size = 0;

  function add(entry: Entry<Statement>): void {
    const { goal } = entry.statement;
    const entries = byGoal.get(goal) ?? createSortedSet<Entry<Statement>>(compareArrival);
    byGoal.set(goal, entries);
    entries.add(entry);
    size += 1;
  }

  function remove(entry: Entry<Statement>): void {
    const { goal } = entry.statement;
    const entries = byGoal.get(goal)!;
    entries.remove(entry);
    if (entries.size() === 0) byGoal.delete(goal);
    size -= 1;
  }

  function getFirst(time: FairOrderTime): Entry<Statement> | undefined {
    let onTime: Entry<Statement> | undefined;
    let late: Entry<Statement> | undefined;
    for (const entries of byGoal.values()) {
      onTime = chooseOlder(onTime, entries.at(countLate(entries, time)));
      late = chooseOlder(late, entries.at(0));
    }
    return onTime ?? late;
  }

  function getLast(time: FairOrderTime): Entry<Statement> | undefined {
    let onTime: Entry<Statement> | undefined;
    let late: Entry<Statement> | undefined;
    for (const entries of byGoal.values()) {
      onTime = chooseYounger(onTime, entries.at(entries.size() - 1));
      late = chooseYounger(late, entries.at(countLate(entries, time) - 1));
    }
    return late ?? onTime;
  }

  function countBefore(entry: Entry<Statement>, time: FairOrderTime): number {
    let count = 0;
    for (const entries of byGoal.values()) {
      const late = countLate(entries, time);
      const older = entries.countWhile((other) => compareArrival(other, entry) < 0);
      count += isLate(entry.statement, time)
        ? entries.size() - late + Math.min(older, late)
        : Math.max(0, older - late);
    }
    return count;
  }

  return { add, remove, size: () => size, getFirst, getLast, countBefore };
}

function isLate({ arrivedAt, goal }: FairOrderStatement, time: FairOrderTime): boolean {
  return arrivedAt + goal < time.now + time.expectedRunTime;
}

function countLate<Statement extends FairOrderStatement>(
  entries: SortedSet<Entry<Statement>>,
  time: FairOrderTime,
): number {
  return entries.countWhile(({ statement }) => isLate(statement, time));
}

function chooseOlder<T extends Entry<FairOrderStatement>>(
  left: T | undefined,
  right: T | undefined,
): T | undefined {
  if (!left || !right) return left ?? right;
  return compareArrival(left, right) <= 0 ? left : right;
}

function chooseYounger<T extends Entry<FairOrderStatement>>(
  left: T | undefined,
  right: T | undefined,
): T | undefined {
  if (!left || !right) return left ?? right;
  return compareArrival(left, right) > 0 ? left : right;
}
