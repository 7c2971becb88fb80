import { createServiceStatistics } from '@wisterialift/core';
import type { FindWeight } from '@wisterialift/core';
import { computeMaximumQueueWait } from '@wisterialift/pooling';
import type { IsMechanismEnabled } from '../mechanisms';
import type { CancelTimer, Clock } from '../ports/clock';
import { createArrivalQueue, createFairQueue } from './statementQueue';
import type { QueueStatement } from './statementQueue';
import type { WaitEnd, WaitStatistics } from './waitStatistics';

/** A statement that requests admission to a member. */
export interface AdmissionRequest {
  /** Priority; 0 is the highest for callers. */
  priority: number;
  /** Latency goal of the route, in milliseconds. */
  goal: number;
  /** When the statement arrived; determines its order within its priority. */
  arrivedAt: number;
  deadlineAt: number;
  /** Milliseconds to wait before `notYet`; a repeated request keeps its order by `arrivedAt`. */
  queueTimeout?: number;
  /** Whether the statement runs on the connection of its transaction. */
  hasConnection?: boolean;
  /** Team of the caller; undefined if it belongs to none. */
  team?: string;
}

/**
 * `tooLate`: not admitted by the deadline, or the expected wait is too long; `notYet`: not admitted
 * within `queueTimeout`.
 */
export type AdmissionResult = 'admitted' | 'tooLate' | 'notYet';

/** Limits the concurrent statements of this instance at a member. */
export interface StatementAdmission {
  requestAdmission: (request: AdmissionRequest) => Promise<AdmissionResult>;
  release: (request: AdmissionRequest) => void;
  /** Number of running and waiting statements. */
  countStatements: () => number;
  /** Number of statements outside transactions that can run concurrently. */
  calculateCapacity: () => number;
  /** Expected wait of a new statement at the end of the queue, in milliseconds. */
  estimateWait: () => number;
  /** Expected milliseconds between two completions. */
  estimateInterval: () => number;
  /** Milliseconds by which the expected wait of a statement exceeds the longest; 0 if admitted. */
  estimateExcessWait: (request: AdmissionRequest) => number;
  /** Whether a statement outside a transaction would be admitted immediately. */
  hasRoom: () => boolean;
  /** Admits waiting statements after connections have become available. */
  admitWaiting: () => void;
}

export interface StatementAdmissionOptions {
  clock: Clock;
  /** Maximum number of concurrent statements, which may change over time. */
  getLimit: () => number;
  /** Number of connections available to statements outside transactions. */
  countFreeConnections: () => number;
  /** Expected duration of one statement at the member, in milliseconds. */
  estimateStatementTime: () => number;
  /** Expected milliseconds until a connection is available. */
  estimateConnectionDelay: () => number;
  isMechanismEnabled: IsMechanismEnabled;
  /** Called when a statement is queued, so that the pool can raise its connection limit. */
  onWaiting: () => void;
  /** Orders waiting statements fairly between teams; by priority and arrival if omitted. */
  fairOrder?: FairOrderOptions;
}

export interface FairOrderOptions {
  findTeamWeight: FindWeight;
  statistics: WaitStatistics;
  onDisplaced: (displacement: Displacement) => void;
}

/** A waiting statement that was refused in favour of a new one. */
export interface Displacement {
  team: string | undefined;
  priority: number;
  waitedMilliseconds: number;
  /** Team and priority of the new statement. */
  displacedByTeam: string | undefined;
  displacedByPriority: number;
}

interface Waiter extends QueueStatement {
  queuedAt: number;
  settle: (result: AdmissionResult, end: WaitEnd) => void;
}

/**
 * Largest number of statements that wait in a fair order, for which the time to choose one was
 * measured (`bench --choices`). Before it is reached, the expected wait limits the queue.
 */
const MAXIMUM_FAIR_QUEUE_SIZE = 10_000;

/**
 * Creates an admission queue for one member, ordered by `chooseNextStatement` or, with `fairOrder`, by
 * `createFairOrder`.
 *
 * Statements that would be too late are refused early, so that the member's own queue does not
 * overflow. A member rejects what exceeds its queue, and callers that retry at once fill it again.
 */
export function createStatementAdmission(options: StatementAdmissionOptions): StatementAdmission {
  const {
    clock,
    getLimit,
    countFreeConnections,
    estimateStatementTime,
    estimateConnectionDelay,
    isMechanismEnabled,
    onWaiting,
    fairOrder,
  } = options;
  const queue = fairOrder
    ? createFairQueue<Waiter>({ findTeamWeight: fairOrder.findTeamWeight, readTime })
    : createArrivalQueue<Waiter>();
  const service = createServiceStatistics();
  let running = 0;
  let runningOutsideTransactions = 0;
  /** Since when the queue has not been empty. */
  let queuedSince: number | undefined;

  function readTime() {
    return { now: clock.now(), expectedRunTime: estimateStatementTime() };
  }

  const canRun = ({ hasConnection = false }: Pick<AdmissionRequest, 'hasConnection'>) =>
    running < getLimit() && (hasConnection || runningOutsideTransactions < countFreeConnections());

  function startRunning({ hasConnection }: Pick<AdmissionRequest, 'hasConnection'>): void {
    running += 1;
    if (!hasConnection) runningOutsideTransactions += 1;
  }

  const calculateQueuedTime = () => (queuedSince === undefined ? 0 : clock.now() - queuedSince);

  function removeWaiter(waiter: Waiter): void {
    queue.remove(waiter);
    clearQueuedTimeIfEmpty();
  }

  function clearQueuedTimeIfEmpty(): void {
    if (queue.size() === 0) queuedSince = undefined;
  }

  /**
   * Estimates the time until a statement is admitted from observed completions, because other
   * instances take an unknown part of the member's slots.
   */
  const estimateInterval = () =>
    service.estimateCompletionInterval() || estimateStatementTime() / getLimit();

  const estimateQueueWait = (statements: number) => (statements + 1) * estimateInterval();

  /** Statements of an open transaction do not wait for a connection. */
  function estimateRequestWait(statement: QueueStatement, additional = 0): number {
    const ahead = queue.countAhead(statement) + additional;
    return (statement.hasConnection ? 0 : estimateConnectionDelay()) + estimateQueueWait(ahead);
  }

  const computeMaximumWait = ({ goal, deadlineAt }: QueueStatement) =>
    computeMaximumQueueWait({
      latencyGoal: goal,
      timeLeft: deadlineAt - clock.now(),
      timeSinceEmpty: isMechanismEnabled('shortQueueInOverload') ? calculateQueuedTime() : 0,
    });

  /**
   * Displaces a waiting statement if running all of them would take longer than a new one may wait.
   *
   * The displaced statement is one that the new one delays for too long. To refuse it now, rather than
   * at its deadline, lets its caller return in time.
   *
   * @returns false if the queue is full and no statement can be displaced.
   */
  function makeRoom(request: AdmissionRequest): boolean {
    if (!fairOrder) return true;
    const isFull = queue.size() >= MAXIMUM_FAIR_QUEUE_SIZE;
    if (!isFull && estimateQueueWait(queue.size()) <= computeMaximumWait(request)) return true;
    const displaced = queue
      .listDisplaceable(request)
      .find((waiter) => isFull || estimateRequestWait(waiter, 1) > computeMaximumWait(waiter));
    if (displaced) displace(displaced, request, fairOrder);
    return displaced !== undefined || !isFull;
  }

  function displace(
    waiter: Waiter,
    { team, priority }: AdmissionRequest,
    { onDisplaced }: FairOrderOptions,
  ): void {
    removeWaiter(waiter);
    waiter.settle('tooLate', 'displaced');
    onDisplaced({
      team: waiter.team,
      priority: waiter.priority,
      waitedMilliseconds: Math.round(clock.now() - waiter.queuedAt),
      displacedByTeam: team,
      displacedByPriority: priority,
    });
  }

  function admitWaiting(): void {
    for (;;) {
      const next = queue.takeNext(canRun);
      if (!next) return;
      clearQueuedTimeIfEmpty();
      startRunning(next);
      next.settle('admitted', 'admitted');
    }
  }

  function enqueue(request: AdmissionRequest): Promise<AdmissionResult> {
    const { queueTimeout = Infinity, ...statement } = request;
    const queuedAt = clock.now();
    const timeLeft = statement.deadlineAt - queuedAt;
    return new Promise((resolve) => {
      let cancelTimeout: CancelTimer | undefined;
      const waiter: Waiter = {
        ...statement,
        queuedAt,
        settle: (result, end) => {
          cancelTimeout?.();
          fairOrder?.statistics.recordEnd(waiter, end, clock.now() - queuedAt);
          resolve(result);
        },
      };
      cancelTimeout = clock.runAfter(Math.min(timeLeft, queueTimeout), () => {
        removeWaiter(waiter);
        if (timeLeft <= queueTimeout) waiter.settle('tooLate', 'refused');
        else waiter.settle('notYet', 'notYet');
      });
      queue.push(waiter);
      fairOrder?.statistics.recordStart(waiter);
      queuedSince ??= queuedAt;
      onWaiting();
      admitWaiting();
    });
  }

  return {
    requestAdmission: (request) => {
      // The limit may have grown since the last completion; a new statement must not be admitted before waiting ones.
      if (fairOrder) admitWaiting();
      if (canRun(request)) {
        startRunning(request);
        return Promise.resolve('admitted');
      }
      if (estimateRequestWait(request) <= computeMaximumWait(request) && makeRoom(request)) {
        return enqueue(request);
      }
      fairOrder?.statistics.recordRefusal(request);
      return Promise.resolve('tooLate');
    },
    release: ({ hasConnection }) => {
      running -= 1;
      if (!hasConnection) runningOutsideTransactions -= 1;
      service.recordCompletion(estimateStatementTime(), clock.now(), queue.size() > 0);
      admitWaiting();
    },
    countStatements: () => running + queue.size(),
    calculateCapacity: () => Math.min(getLimit(), countFreeConnections()),
    estimateWait: () => estimateConnectionDelay() + estimateQueueWait(queue.size()),
    estimateInterval,
    estimateExcessWait: (request) =>
      canRun(request) ? 0 : Math.max(0, estimateRequestWait(request) - computeMaximumWait(request)),
    hasRoom: () => canRun({}),
    admitWaiting,
  };
}
