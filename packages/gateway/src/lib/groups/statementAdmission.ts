import { createServiceStatistics } from '@wisterialift/core';
import { chooseNextStatement, computeMaximumQueueWait } from '@wisterialift/pooling';
import type { QueuedStatement } from '@wisterialift/pooling';
import type { IsMechanismEnabled } from '../mechanisms';
import type { CancelTimer, Clock } from '../ports/clock';

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
}

interface Waiter extends QueuedStatement {
  hasConnection: boolean;
  settle: (result: AdmissionResult) => void;
}

/**
 * Creates an admission queue for one member, ordered by `chooseNextStatement`.
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
  } = options;
  const waiters: Waiter[] = [];
  const service = createServiceStatistics();
  let running = 0;
  let runningOutsideTransactions = 0;
  /** Since when the queue has not been empty. */
  let queuedSince: number | undefined;

  const canRun = ({ hasConnection = false }: Pick<AdmissionRequest, 'hasConnection'>) =>
    running < getLimit() && (hasConnection || runningOutsideTransactions < countFreeConnections());

  function startRunning({ hasConnection }: Pick<AdmissionRequest, 'hasConnection'>): void {
    running += 1;
    if (!hasConnection) runningOutsideTransactions += 1;
  }

  const calculateQueuedTime = () => (queuedSince === undefined ? 0 : clock.now() - queuedSince);

  function removeWaiter(waiter: Waiter): void {
    waiters.splice(waiters.indexOf(waiter), 1);
    if (waiters.length === 0) queuedSince = undefined;
  }

  /**
   * Estimates the time until a statement is admitted from observed completions, because other
   * instances take an unknown part of the member's slots.
   */
  const estimateInterval = () =>
    service.estimateCompletionInterval() || estimateStatementTime() / getLimit();

  const estimateQueueWait = (statements: number) => (statements + 1) * estimateInterval();

  /** Statements of an open transaction do not wait for a connection. */
  function estimateRequestWait({ priority, arrivedAt, hasConnection }: AdmissionRequest): number {
    const ahead = waiters.filter(
      (waiter) =>
        waiter.priority < priority ||
        (waiter.priority === priority && waiter.arrivedAt <= arrivedAt),
    );
    return (hasConnection ? 0 : estimateConnectionDelay()) + estimateQueueWait(ahead.length);
  }

  function calculateMaximumWait({ goal, deadlineAt }: AdmissionRequest): number {
    return computeMaximumQueueWait({
      latencyGoal: goal,
      timeLeft: deadlineAt - clock.now(),
      timeSinceEmpty: isMechanismEnabled('shortQueueInOverload') ? calculateQueuedTime() : 0,
    });
  }

  function admitWaiting(): void {
    for (;;) {
      const next = chooseNextStatement(waiters.filter(canRun));
      if (!next) return;
      removeWaiter(next);
      startRunning(next);
      next.settle('admitted');
    }
  }

  function enqueue(request: AdmissionRequest): Promise<AdmissionResult> {
    const {
      priority,
      arrivedAt,
      deadlineAt,
      hasConnection = false,
      queueTimeout = Infinity,
    } = request;
    const timeLeft = deadlineAt - clock.now();
    return new Promise((resolve) => {
      let cancelTimeout: CancelTimer | undefined;
      const waiter: Waiter = {
        priority,
        hasConnection,
        arrivedAt,
        settle: (result) => {
          cancelTimeout?.();
          resolve(result);
        },
      };
      cancelTimeout = clock.runAfter(Math.min(timeLeft, queueTimeout), () => {
        removeWaiter(waiter);
        resolve(timeLeft <= queueTimeout ? 'tooLate' : 'notYet');
      });
      waiters.push(waiter);
      queuedSince ??= clock.now();
      onWaiting();
      admitWaiting();
    });
  }

  return {
    requestAdmission: (request) => {
      if (canRun(request)) {
        startRunning(request);
        return Promise.resolve('admitted');
      }
      return estimateRequestWait(request) > calculateMaximumWait(request)
        ? Promise.resolve('tooLate')
        : enqueue(request);
    },
    release: ({ hasConnection }) => {
      running -= 1;
      if (!hasConnection) runningOutsideTransactions -= 1;
      service.recordCompletion(estimateStatementTime(), clock.now(), waiters.length > 0);
      admitWaiting();
    },
    countStatements: () => running + waiters.length,
    calculateCapacity: () => Math.min(getLimit(), countFreeConnections()),
    estimateWait: () => estimateConnectionDelay() + estimateQueueWait(waiters.length),
    estimateInterval,
    estimateExcessWait: (request) =>
      canRun(request)
        ? 0
        : Math.max(0, estimateRequestWait(request) - calculateMaximumWait(request)),
    hasRoom: () => canRun({}),
    admitWaiting,
  };
}
