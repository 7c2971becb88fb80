import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createFairOrder } from '..';
import type { FairOrder, FairOrderStatement } from '..';
import { createSortedSet } from '../lib/admission/sortedSet';

interface Statement extends FairOrderStatement {
  id: string;
}

const WEIGHTS: Record<string, number> = { a: 1, b: 0.5, c: 3, d: 10, busy: 2 };
const findWeight = (team: string | undefined) => WEIGHTS[team ?? ''] ?? 1;

const canRunAll = () => true;
const atTime = (now: number) => ({ now, expectedRunTime: 10 });

let created = 0;

function createStatement(changes: Partial<Statement> = {}): Statement {
  created += 1;
  return { id: `${created}`, priority: 0, team: 'a', arrivedAt: 0, goal: 400, ...changes };
}

function pushMany(order: FairOrder<Statement>, count: number, changes: Partial<Statement>) {
  const statements = Array.from({ length: count }, () => createStatement(changes));
  statements.forEach(order.push);
  return statements;
}

function takeMany(order: FairOrder<Statement>, count: number, now = 0): Statement[] {
  return Array.from({ length: count }, () => order.takeNext(canRunAll, atTime(now))!);
}

const team = fc.constantFrom('a', 'b', 'c', 'd', undefined);

/** A step of a load: the arrival of a statement, or the start or the end of a waiting one. */
const loadStep = fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: fc.constant('push' as const), team }) },
  { weight: 2, arbitrary: fc.constant({ type: 'take' as const }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('remove' as const), index: fc.nat(30) }),
  },
);

/** Applies a load of one priority, in which each step takes a millisecond. */
function applyLoad(steps: readonly (typeof loadStep extends fc.Arbitrary<infer T> ? T : never)[]) {
  const order = createFairOrder<Statement>({ findWeight });
  const waiting: Statement[] = [];
  steps.forEach((step, now) => {
    if (step.type === 'push') {
      const statement = createStatement({ team: step.team, arrivedAt: now });
      waiting.push(statement);
      order.push(statement);
    } else if (step.type === 'take') {
      const taken = order.takeNext(canRunAll, atTime(now));
      // Guards against a queue that leaves a place empty although statements wait.
      expect(taken === undefined).toBe(waiting.length === 0);
      if (taken) waiting.splice(waiting.indexOf(taken), 1);
    } else {
      for (const removed of waiting.splice(step.index, 1)) order.remove(removed);
    }
    expect(order.size()).toBe(waiting.length);
  });
  return { order, waiting, now: steps.length };
}

describe('the sorted set', () => {
  it('agrees with a sorted array', () => {
    const step = fc.record({ isAdded: fc.boolean(), value: fc.nat(40) });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const set = createSortedSet<number>((left, right) => left - right);
        let expected: number[] = [];
        for (const { isAdded, value } of steps) {
          const index = expected.indexOf(value);
          if (isAdded) {
            set.add(value);
            expected = [...expected, value].sort((left, right) => left - right);
          } else {
            set.remove(value);
            if (index !== -1) expected.splice(index, 1);
          }
          expect(Array.from({ length: set.size() }, (_, rank) => set.at(rank))).toEqual(expected);
          expect(set.countWhile((item) => item < value)).toBe(
            expected.filter((item) => item < value).length,
          );
        }
      }),
    );
  });

  it('stays balanced when items arrive in order', () => {
    // Guards against a linear choice among statements, which arrive in the order of their times.
    let comparisons = 0;
    const set = createSortedSet<number>((left, right) => {
      comparisons += 1;
      return left - right;
    });
    for (let value = 0; value < 10_000; value += 1) set.add(value);
    for (let value = 0; value < 9_000; value += 1) set.remove(value);
    comparisons = 0;
    set.add(9_500);
    expect(comparisons).toBeLessThan(25);
    for (let value = -1; value > -10_000; value -= 1) set.add(value);
    comparisons = 0;
    set.add(-9_500);
    expect(comparisons).toBeLessThan(25);
  });
});

describe('the fair order between teams', () => {
  it('runs statements in the counted order, whatever the load before', () => {
    // Guards against refusals by an expected wait that does not match the order.
    fc.assert(
      fc.property(fc.array(loadStep, { maxLength: 120 }), (steps) => {
        const { order, waiting, now } = applyLoad(steps);
        const counted = waiting.map((statement) => order.countAhead(statement, atTime(now)));
        const taken = takeMany(order, waiting.length, now);
        expect(waiting.map((statement) => taken.indexOf(statement))).toEqual(counted);
        expect(order.takeNext(canRunAll, atTime(now))).toBeUndefined();
        expect(order.countTeams()).toBe(0);
      }),
    );
  });

  it('bounds the wait of a statement by the weights, whatever other teams ask for', () => {
    // Guards against a team that delays the statements of others by asking for more. A statement with
    // k others of its own team before it waits for at most 1 + (k + 1) * weight / own weight statements
    // of each other team: k + 1, because the team may have run one statement ahead of its share.
    const others = ['a', 'c', 'd', 'busy'];
    fc.assert(
      fc.property(
        fc.array(loadStep, { maxLength: 120 }),
        fc.nat(3),
        fc.array(fc.constantFrom(...others), { minLength: 1, maxLength: 40 }),
        (steps, ahead, arrivals) => {
          const { order, now } = applyLoad(steps.filter((step) => step.type !== 'remove'));
          const own = pushMany(order, ahead + 1, { team: 'own', arrivedAt: now });
          const last = own.at(-1)!;
          const bound = ['a', 'b', 'c', 'd', 'busy', undefined].reduce(
            (sum, other) => sum + 1 + (ahead + 1) * findWeight(other),
            ahead,
          );
          expect(order.countAhead(last, atTime(now))).toBeLessThanOrEqual(bound);
          let choices = 0;
          while (order.takeNext(canRunAll, atTime(now)) !== last) {
            pushMany(order, 1, { team: arrivals[choices % arrivals.length], arrivedAt: now });
            choices += 1;
          }
          expect(choices).toBeLessThanOrEqual(bound);
        },
      ),
    );
  });

  it('shares choices in proportion to the weights', () => {
    const order = createFairOrder<Statement>({ findWeight });
    ['a', 'c', 'd'].forEach((name) => pushMany(order, 200, { team: name }));
    const shares = takeMany(order, 140).reduce<Record<string, number>>(
      (counts, { team: name = '' }) => ({ ...counts, [name]: (counts[name] ?? 0) + 1 }),
      {},
    );
    expect(shares).toEqual({ a: 10, c: 30, d: 100 });
  });

  it('charges a team that has one statement at a time', () => {
    // Guards against a team that is forgotten whenever its last statement has run, and then precedes
    // those that have waited all along.
    const order = createFairOrder<Statement>({ findWeight });
    pushMany(order, 20, { team: 'x' });
    const taken = Array.from({ length: 20 }, () => {
      pushMany(order, 1, { team: 'y' });
      const next = order.takeNext(canRunAll, atTime(0))!;
      return next.team;
    });
    expect(taken.filter((name) => name === 'x').length).toBeGreaterThanOrEqual(9);
  });

  it('keeps the record of a team that waits again before its next slot', () => {
    const order = createFairOrder<Statement>({ findWeight });
    pushMany(order, 10, { team: 'x' });
    pushMany(order, 1, { team: 'y' });
    takeMany(order, 2);
    const [, second] = pushMany(order, 2, { team: 'y' });
    takeMany(order, 2);
    expect(order.countTeams()).toBe(2);
    order.remove(second!);
    // Guards against a deadline and a displacement that both remove one statement.
    order.remove(second!);
    expect(order.size()).toBe(8);
  });

  it('gives no credit for idle time and keeps no record of idle teams', () => {
    const order = createFairOrder<Statement>({ findWeight });
    pushMany(order, 40, { team: 'x' });
    takeMany(order, 20);
    pushMany(order, 20, { team: 'y' });
    const names = takeMany(order, 10).map(({ team: name }) => name);
    expect(names.filter((name) => name === 'x').length).toBe(5);
    // Guards against memory that grows with the number of teams that ever waited.
    for (let index = 0; index < 100; index += 1) pushMany(order, 1, { team: `once-${index}` });
    takeMany(order, 104);
    expect([order.size(), order.countTeams()]).toEqual([26, 2]);
    takeMany(order, 26);
    expect(order.countTeams()).toBe(0);
  });

  it('applies a changed weight to the statements that wait', () => {
    const weights = new Map([['x', 1]]);
    const order = createFairOrder<Statement>({ findWeight: (name = '') => weights.get(name) ?? 1 });
    pushMany(order, 40, { team: 'x' });
    pushMany(order, 40, { team: 'y' });
    takeMany(order, 20);
    weights.set('x', 4);
    pushMany(order, 1, { team: 'x' });
    const names = takeMany(order, 20).map(({ team: name }) => name);
    expect(names.filter((name) => name === 'x').length).toBe(16);
    expect(takeMany(order, 41).every((statement) => statement !== undefined)).toBe(true);
  });
});

describe('the fair order between priorities', () => {
  it.each([
    ['the lowest priority', [0, 2], 2],
    ['the lowest priority below others', [0, 1, 2], 2],
    ['a priority between others', [0, 1, 2], 1],
  ])('gives %s one of every 8 choices while it is overdue', (_, priorities, checked) => {
    // Guards against statements that wait until their deadline while others use the whole member.
    const order = createFairOrder<Statement>({ findWeight });
    priorities.forEach((priority) => pushMany(order, 100, { priority }));
    const taken = takeMany(order, 64, 101).map(({ priority }) => priority === checked);
    const windows = taken.slice(9).map((_isChecked, index) => taken.slice(index, index + 9));
    // A choice of the priority between may come one later, when the lowest has its own.
    const window = checked === 1 ? 9 : 8;
    expect(windows.every((choices) => choices.slice(0, window).includes(true))).toBe(true);
    expect(taken.filter(Boolean).length).toBeLessThanOrEqual(8);
  });

  it('leaves most choices to the highest priority, however many there are', () => {
    // Guards against many overdue priorities that together displace the highest.
    const order = createFairOrder<Statement>({ findWeight });
    for (let priority = 0; priority < 10; priority += 1) pushMany(order, 100, { priority });
    const taken = takeMany(order, 80, 101);
    expect(taken.filter(({ priority }) => priority === 0).length).toBeGreaterThanOrEqual(60);
  });

  it('counts the choices reserved for the lowest priority', () => {
    // Guards against an expected wait of the lowest priority that grows with the statements above it
    // although its own choices do not, and against one of the others that leaves these out.
    const order = createFairOrder<Statement>({ findWeight });
    const high = pushMany(order, 70, { priority: 0 });
    const low = pushMany(order, 3, { priority: 2 });
    const counted = [high[69]!, low[0]!, low[2]!].map((statement) =>
      order.countAhead(statement, atTime(101)),
    );
    const taken = takeMany(order, 73, 101);
    expect(counted).toEqual([69 + 3, 7, 23]);
    expect([low[0]!, low[2]!].map((statement) => taken.indexOf(statement))).toEqual([7, 23]);
    expect(taken.indexOf(high[69]!)).toBe(72);
  });

  it('is by priority alone before a quarter of the goal has passed', () => {
    const order = createFairOrder<Statement>({ findWeight });
    pushMany(order, 5, { priority: 2 });
    pushMany(order, 30, { priority: 0 });
    expect(takeMany(order, 30, 100).every(({ priority }) => priority === 0)).toBe(true);
  });

  it('runs every statement of an overload before a bounded number of others', () => {
    // Guards against starvation of any priority or team under an endless load of the others.
    const arrival = fc.record({ priority: fc.nat(3), team });
    fc.assert(
      fc.property(fc.array(arrival, { minLength: 1, maxLength: 40 }), (arrivals) => {
        const order = createFairOrder<Statement>({ findWeight });
        const first = arrivals.map((changes) => createStatement(changes));
        first.forEach(order.push);
        const remaining = new Set(first);
        // At most two reserved priorities share an eighth, and weights differ by a factor of 20.
        const bound = first.length * 16 * 20 * 5;
        for (let choice = 0; choice < bound && remaining.size > 0; choice += 1) {
          pushMany(order, 1, { ...arrivals[choice % arrivals.length], arrivedAt: choice });
          // Goals are long enough that the first ones stay on time.
          remaining.delete(order.takeNext(canRunAll, { now: 200, expectedRunTime: 0 })!);
        }
        expect(remaining.size).toBe(0);
      }),
      { numRuns: 30 },
    );
  });

  it('runs statements of open transactions first, and passes over those that cannot run', () => {
    const order = createFairOrder<Statement>({ findWeight });
    const [outside] = pushMany(order, 1, { priority: 0 });
    const [inside, next] = pushMany(order, 2, { priority: -1, hasConnection: true });
    const isOutside = ({ hasConnection = false }: Statement) => !hasConnection;
    expect(order.countAhead(outside!, atTime(0))).toBe(2);
    expect(order.countAhead(next!, atTime(0))).toBe(1);
    expect(order.takeNext(isOutside, atTime(0))).toBe(outside);
    pushMany(order, 1, { priority: 0 });
    expect(order.takeNext(canRunAll, atTime(0))).toBe(inside);
    expect(order.takeNext((statement) => !isOutside(statement), atTime(0))).toBe(next);
    expect(order.takeNext((statement) => !isOutside(statement), atTime(0))).toBeUndefined();
  });
});

describe('the fair order within a team', () => {
  it('prefers statements that can meet their goal, oldest first, and runs the late ones after', () => {
    const order = createFairOrder<Statement>({ findWeight });
    const statements = [
      createStatement({ id: 'late', arrivedAt: 0, goal: 100 }),
      createStatement({ id: 'later', arrivedAt: 5, goal: 100 }),
      createStatement({ id: 'old', arrivedAt: 10, goal: 900 }),
      createStatement({ id: 'young', arrivedAt: 80, goal: 100 }),
    ];
    statements.forEach(order.push);
    const counted = statements.map((statement) => order.countAhead(statement, atTime(120)));
    expect(counted).toEqual([2, 3, 0, 1]);
    const ids = takeMany(order, 4, 120).map(({ id }) => id);
    expect(ids).toEqual(['old', 'young', 'late', 'later']);
  });
});

describe('displacement from the fair order', () => {
  const findDisplaceable = (order: FairOrder<Statement>, changes: Partial<Statement>) =>
    order
      .listDisplaceable(createStatement({ arrivedAt: 50, ...changes }), atTime(50))
      .map(({ priority, team: name, arrivedAt }) => ({ priority, team: name, arrivedAt }));

  it('chooses the last one of the lowest priority and of the busiest team by weight', () => {
    const order = createFairOrder<Statement>({ findWeight });
    [1, 2, 3].forEach((arrivedAt) => pushMany(order, 1, { team: 'x', arrivedAt }));
    pushMany(order, 10, { team: 'd', arrivedAt: 4 });
    pushMany(order, 1, { team: 'x', priority: 2, arrivedAt: 5 });
    expect(findDisplaceable(order, { team: 'y' })).toEqual([
      { priority: 2, team: 'x', arrivedAt: 5 },
      { priority: 0, team: 'x', arrivedAt: 3 },
    ]);
    // Among the statements of the team, a late one is the last.
    pushMany(order, 4, { team: 'x', arrivedAt: -9, goal: 1 });
    expect(findDisplaceable(order, { team: 'y' })[1]?.arrivedAt).toBe(-9);
    // Guards against a team above its share that displaces statements of teams below theirs.
    expect(findDisplaceable(order, { team: 'x', priority: 0 }).length).toBe(1);
    expect(findDisplaceable(order, { team: 'x', priority: 2 })).toEqual([]);
  });
});
