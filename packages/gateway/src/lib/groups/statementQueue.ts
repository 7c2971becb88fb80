import { createFairOrder } from '@wisterialift/core';
import type { FairOrderStatement, FairOrderTime, FindWeight } from '@wisterialift/core';
import { chooseNextStatement } from '@wisterialift/pooling';

/** A statement that waits for admission, or asks for it. */
export interface QueueStatement extends FairOrderStatement {
  deadlineAt: number;
}

/** The statements that wait for admission to a member, in their order. */
export interface StatementQueue<Waiter extends QueueStatement> {
  push: (waiter: Waiter) => void;
  /** Removes and returns the next statement that can run. */
  takeNext: (canRun: (waiter: QueueStatement) => boolean) => Waiter | undefined;
  remove: (waiter: Waiter) => void;
  /** Number of waiting statements that run before one, which may be waiting or new. */
  countAhead: (statement: QueueStatement) => number;
  /** Waiting statements that a new one may displace, in the order of preference. */
  listDisplaceable: (statement: QueueStatement) => Waiter[];
  size: () => number;
}

/** Creates a queue ordered by priority, then arrival, in which no statement displaces another. */
export function createArrivalQueue<Waiter extends QueueStatement>(): StatementQueue<Waiter> {
  const waiters: Waiter[] = [];

  function remove(waiter: Waiter): void {
    waiters.splice(waiters.indexOf(waiter), 1);
  }

  return {
    push: (waiter) => waiters.push(waiter),
    takeNext: (canRun) => {
      const next = chooseNextStatement(waiters.filter(canRun));
      if (next) remove(next);
      return next;
    },
    remove,
    countAhead: ({ priority, arrivedAt }) =>
      waiters.filter(
        (waiter) =>
          waiter.priority < priority ||
          (waiter.priority === priority && waiter.arrivedAt <= arrivedAt),
      ).length,
    listDisplaceable: () => [],
    size: () => waiters.length,
  };
}

/** Creates a queue ordered fairly between teams, see `createFairOrder`. */
export function createFairQueue<Waiter extends QueueStatement>(options: {
  findTeamWeight: FindWeight;
  readTime: () => FairOrderTime;
}): StatementQueue<Waiter> {
  const { findTeamWeight, readTime } = options;
  const order = createFairOrder<QueueStatement>({ findWeight: findTeamWeight });
  return {
    push: order.push,
    takeNext: (canRun) => order.takeNext(canRun, readTime()) as Waiter | undefined,
    remove: order.remove,
    countAhead: (statement) => order.countAhead(statement, readTime()),
    listDisplaceable: (statement) => order.listDisplaceable(statement, readTime()) as Waiter[],
    size: order.size,
  };
}
