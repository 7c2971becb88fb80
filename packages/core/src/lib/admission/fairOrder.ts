import { createPriorityBand } from './priorityBand';
import type { FindWeight, PriorityBand } from './priorityBand';
import { createSortedSet } from './sortedSet';
import { compareArrival } from './teamStatements';
import type { Entry, FairOrderStatement, FairOrderTime } from './teamStatements';

/** Statements that wait for a member, in the order in which they run. @public */
export interface FairOrder<Statement extends FairOrderStatement> {
  push: (statement: Statement) => void;
  /**
   * Removes and returns the statement that goes next; undefined if it cannot run.
   *
   * @param canRun - must give one result for all statements with the same `hasConnection`.
   */
  takeNext: (
    canRun: (statement: Statement) => boolean,
    time: FairOrderTime,
  ) => Statement | undefined;
  /** Removes a statement; has no effect if it does not wait. */
  remove: (statement: Statement) => void;
  /** Number of the statements that would run before one, which may be waiting or new. */
  countAhead: (statement: Statement, time: FairOrderTime) => number;
  /**
   * Returns the statements that a new one may displace, in the order of preference: the last one of the
   * lowest priority, if that is a lower one, and the last one of the team with the most waiting
   * statements relative to its weight at the same priority, if that is another team.
   */
  listDisplaceable: (statement: Statement, time: FairOrderTime) => Statement[];
  size: () => number;
  /** Number of teams that use memory. */
  countTeams: () => number;
}

/** Number of choices of which one goes to an overdue band. */
const RESERVED_CHOICE_INTERVAL = 8;

/** A band and the choices that went to others while it was overdue, since its last one. */
interface CountedBand<Statement extends FairOrderStatement> {
  band: PriorityBand<Statement>;
  passedOver: number;
}

/**
 * Creates an empty order of the statements that wait for one member.
 *
 * Intended for a load in which callers of many teams want more than a member can run: it bounds how long the
 * statements of one team delay those of the others, and those of a high priority the ones below.
 * Statements of open transactions go first. Then the lowest priority number goes first, except that of
 * every 8 choices one goes to the last band, and one to the bands between, while their oldest statement
 * is overdue. Choices of statements of open transactions do not count among the 8.
 *
 * All operations are logarithmic in statements and teams, and linear in the numbers of priorities and of
 * goals of one team, which are few.
 *
 * @public
 */
export function createFairOrder<Statement extends FairOrderStatement>({
  findWeight,
}: {
  findWeight: FindWeight;
}): FairOrder<Statement> {
  const entries = new Map<Statement, Entry<Statement>>();
  const inTransactions = createSortedSet<Entry<Statement>>(compareArrival);
  /** Bands with waiting statements, the highest priority first. */
  const bands: CountedBand<Statement>[] = [];
  let choicesSinceMiddle = 0;
  let nextSequence = 0;

  function findBand(priority: number): PriorityBand<Statement> | undefined {
    return bands.find(({ band }) => band.priority === priority)?.band;
  }

  function openBand(priority: number): PriorityBand<Statement> {
    const known = findBand(priority);
    if (known) return known;
    const band = createPriorityBand<Statement>(priority, findWeight);
    bands.push({ band, passedOver: 0 });
    bands.sort((left, right) => left.band.priority - right.band.priority);
    return band;
  }

  function closeBandIfEmpty(band: PriorityBand<Statement>): void {
    if (band.size() > 0) return;
    bands.splice(
      bands.findIndex((counted) => counted.band === band),
      1,
    );
  }

  function push(statement: Statement): void {
    const entry = { statement, sequence: nextSequence };
    nextSequence += 1;
    entries.set(statement, entry);
    if (statement.hasConnection) inTransactions.add(entry);
    else openBand(statement.priority).add(entry);
  }

  function remove(statement: Statement): void {
    const entry = entries.get(statement);
    if (!entry) return;
    entries.delete(statement);
    if (statement.hasConnection) {
      inTransactions.remove(entry);
      return;
    }
    const band = findBand(statement.priority)!;
    band.remove(entry);
    closeBandIfEmpty(band);
  }

  const isDue = ({ band, passedOver }: CountedBand<Statement>, now: number) =>
    passedOver >= RESERVED_CHOICE_INTERVAL - 1 && band.isOverdue(now);

  function chooseBand(now: number): CountedBand<Statement> | undefined {
    const lowest = bands.at(-1);
    if (bands.length > 1 && isDue(lowest!, now)) return lowest;
    const middle = choicesSinceMiddle < RESERVED_CHOICE_INTERVAL - 1 ? [] : bands.slice(1, -1);
    const due = middle.filter((counted) => isDue(counted, now));
    if (due.length === 0) return bands[0];
    return due.reduce((best, next) => (next.passedOver > best.passedOver ? next : best));
  }

  function recordChoice(chosen: CountedBand<Statement>, now: number): void {
    const isMiddle = chosen !== bands[0] && chosen !== bands.at(-1);
    choicesSinceMiddle = isMiddle ? 0 : choicesSinceMiddle + 1;
    for (const counted of bands) {
      if (counted === chosen) counted.passedOver = 0;
      else if (counted.band.isOverdue(now)) counted.passedOver += 1;
    }
  }

  function takeFromBands(
    canRun: (statement: Statement) => boolean,
    time: FairOrderTime,
  ): Statement | undefined {
    const chosen = chooseBand(time.now);
    const next = chosen?.band.getFirst(time);
    if (!chosen || !next || !canRun(next.statement)) return undefined;
    recordChoice(chosen, time.now);
    chosen.band.takeFirst(next);
    entries.delete(next.statement);
    closeBandIfEmpty(chosen.band);
    return next.statement;
  }

  function takeNext(
    canRun: (statement: Statement) => boolean,
    time: FairOrderTime,
  ): Statement | undefined {
    const first = inTransactions.at(0)?.statement;
    if (!first || !canRun(first)) return takeFromBands(canRun, time);
    remove(first);
    return first;
  }

  function countAhead(statement: Statement, time: FairOrderTime): number {
    const entry = entries.get(statement) ?? { statement, sequence: nextSequence };
    if (statement.hasConnection) {
      return inTransactions.countWhile((other) => compareArrival(other, entry) < 0);
    }
    return inTransactions.size() + countAheadInBands(entry, time);
  }

  /** Includes the choices that are reserved for the lowest band while it is overdue. */
  function countAheadInBands(entry: Entry<Statement>, time: FairOrderTime): number {
    const { priority } = entry.statement;
    let above = 0;
    for (const { band } of bands) if (band.priority < priority) above += band.size();
    const own = findBand(priority)?.countBefore(entry, time) ?? 0;
    const lowest = bands.at(-1)?.band;
    if (!lowest?.isOverdue(time.now) || lowest.priority < priority) return above + own;
    if (lowest.priority === priority) {
      return Math.min(above + own, RESERVED_CHOICE_INTERVAL * (own + 1) - 1);
    }
    const reserved = Math.floor((above + own) / (RESERVED_CHOICE_INTERVAL - 1));
    return above + own + Math.min(reserved, lowest.size());
  }

  function listDisplaceable(statement: Statement, time: FairOrderTime): Statement[] {
    const { priority, team } = statement;
    const displaceable: (Entry<Statement> | undefined)[] = [];
    const lowest = bands.at(-1)?.band;
    if (lowest && lowest.priority > priority) displaceable.push(lowest.getLastOfBusiestTeam(time));
    const band = statement.hasConnection ? undefined : findBand(priority);
    const last = band?.getLastOfBusiestTeam(time);
    if (band && last) {
      const ownLoad = band.calculateLoad(team, entries.has(statement) ? 0 : 1);
      if (band.calculateLoad(last.statement.team, 0) > ownLoad) displaceable.push(last);
    }
    return displaceable.flatMap((entry) => (entry ? [entry.statement] : []));
  }

  return {
    push,
    takeNext,
    remove,
    countAhead,
    listDisplaceable,
    size: () => entries.size,
    countTeams: () => bands.reduce((sum, { band }) => sum + band.countTeams(), 0),
  };
}
