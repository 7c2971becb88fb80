import type { Access } from '@wisterialift/core';
import { requestOutcomeSchema, type RequestOutcome } from '@wisterialift/schema';
import type { FakeDatabase } from '../fakes/fakeDatabase';
import { isShown, type LogEntry, type LogView } from '../fakes/memberLog';

/** The guarantees that a history is checked for. @public */
export type Guarantee =
  | 'acknowledgedWriteLost'
  | 'writeDoubled'
  | 'ranMoreThanOnce'
  | 'acknowledgedWithoutMajority'
  | 'notRunButRan'
  | 'discardedButKept'
  | 'transactionMixed'
  | 'ownWriteNotRead'
  | 'readTooStale'
  | 'answeredTwice'
  | 'answeredLate'
  | 'malformedAnswer'
  | 'noTimeToComeBack'
  | 'neverAnswered'
  | 'doneWithoutRun'
  | 'wrongPosition'
  | 'workForLeavingDatabase'
  | 'writesStopped'
  | 'readsStopped'
  | 'groupNotConverged'
  | 'engineFailed';

/** One broken guarantee. @public */
export interface Violation {
  guarantee: Guarantee;
  at: number;
  detail: string;
}

/** What a session asked for; times on the clock of the history. @public */
export interface RequestRecord {
  requestId: string;
  access: Access;
  session: string;
  /** Identifiers that the request wrote; several for a transaction's COMMIT. */
  writes: readonly string[];
  deadlineMilliseconds: number;
  maximumStalenessMilliseconds: number;
  /** Writes that the session had been told are kept when it sent the request. */
  mustSee: readonly string[];
  /** The statement breaks a constraint, so that the database answers with an error. */
  fails: boolean;
}

/** What happened to the attempts of a request at its proxy. @public */
export interface AttemptResult {
  dispatchedAt: number;
  view?: LogView;
  entry?: LogEntry;
  hasCompleted: boolean;
}

/** @public */
export interface Oracle {
  onIssued: (request: RequestRecord) => void;
  /** The request reached its proxy, which answers for it from now on. */
  onArrived: (requestId: string) => void;
  onExecuted: (entry: LogEntry, member: string) => void;
  /** The proxy gave the final answer; `latestAt` is when its last answer was due. */
  onAnswered: (answer: {
    requestId: string;
    outcome: RequestOutcome;
    attempt: AttemptResult | undefined;
    latestAt: number;
  }) => void;
  /** The proxy died, so that the caller may go without an answer. */
  onProxyDied: (requestIds: string[]) => void;
  /** The caller has gone, so that the request needs no answer. */
  onCancelled: (requestId: string) => void;
  report: (guarantee: Guarantee, detail: string) => void;
  /** Compares what sessions were told with the log that the group ended with. */
  checkFinalLog: (log: readonly LogEntry[]) => void;
  violations: () => Violation[];
  /** When writes were acknowledged. */
  acknowledgedAt: () => number[];
  counts: () => OracleCounts;
}

/** How much of what a history held; a history without answers proves nothing. @public */
export interface OracleCounts {
  requests: number;
  acknowledgedWrites: number;
  reads: number;
  notRun: number;
  unknown: number;
  discarded: number;
}

/** Time of an answer beyond its deadline that still counts as in time. */
const DEADLINE_TOLERANCE_MILLISECONDS = 20;
const MAXIMUM_VIOLATIONS = 20;

/**
 * Creates the oracle: it keeps what each session wrote, read and was told, and knows nothing of how
 * the proxies decide.
 *
 * @public
 */
export function createOracle(options: {
  now: () => number;
  databases: () => readonly FakeDatabase[];
}): Oracle {
  const { now, databases } = options;
  const requests = new Map<string, RequestRecord>();
  const outcomes = new Map<string, RequestOutcome>();
  const arrivals = new Map<string, number>();
  const deadlines = new Map<string, number>();
  const excused = new Set<string>();
  const executions = new Map<string, LogEntry[]>();
  const acknowledged: { write: string; at: number }[] = [];
  const violations: Violation[] = [];
  const counts: OracleCounts = {
    requests: 0,
    acknowledgedWrites: 0,
    reads: 0,
    notRun: 0,
    unknown: 0,
    discarded: 0,
  };

  const report = (guarantee: Guarantee, detail: string) => {
    if (violations.length >= MAXIMUM_VIOLATIONS) return;
    violations.push({ guarantee, at: Math.round(now()), detail });
  };

  const isMajority = (count: number) => count > databases().length / 2;

  const holders = (entry: LogEntry): number =>
    databases().filter(({ log }) => log()[entry.index - 1] === entry).length;

  const isVisible = (write: string, view: LogView): boolean =>
    (executions.get(write) ?? []).some((entry) => isShown(view, entry));

  // Answers

  const checkWriteDone = (
    request: RequestRecord,
    outcome: Extract<RequestOutcome, { status: 'done' }>,
    attempt: AttemptResult,
  ) => {
    const { requestId, writes } = request;
    const { entry } = attempt;
    if (request.fails || !entry) return;
    const { position } = outcome;
    if (position?.term !== entry.term || position.index !== entry.index) {
      const told = JSON.stringify(position);
      report('wrongPosition', `${requestId} at ${entry.term}:${entry.index} was told ${told}`);
    }
    if (!isMajority(holders(entry))) {
      const place = `${entry.term}:${entry.index}`;
      report(
        'acknowledgedWithoutMajority',
        `${requestId} at ${place}: ${describeGroup(databases())}`,
      );
    }
    counts.acknowledgedWrites += 1;
    writes.forEach((write) => acknowledged.push({ write, at: now() }));
  };

  const checkReadDone = (request: RequestRecord, attempt: AttemptResult) => {
    const { view, dispatchedAt } = attempt;
    if (!view) return;
    counts.reads += 1;
    const staleness = request.maximumStalenessMilliseconds;
    if (staleness === 0) {
      const missing = request.mustSee.filter((write) => !isVisible(write, view));
      if (missing.length === 0) return;
      const seen = `${view.member} at ${view.applied}`;
      report('ownWriteNotRead', `${request.requestId} at ${seen} missed ${missing.join(' ')}`);
      return;
    }
    // A read of a stated age is held to no more than a fresh one, which shows what was acknowledged
    // before it arrived: one that waited for a place may be served on that ground.
    const bound = Math.min(dispatchedAt - staleness, arrivals.get(request.requestId) ?? 0);
    const missing = acknowledged.filter(({ write, at }) => at < bound && !isVisible(write, view));
    if (missing.length === 0) return;
    const names = missing.map(({ write, at }) => `${write}@${Math.round(at)}`).join(' ');
    report('readTooStale', `${request.requestId} at ${view.member}, ${staleness} ms: ${names}`);
  };

  const checkDone = (
    request: RequestRecord,
    outcome: Extract<RequestOutcome, { status: 'done' }>,
    attempt: AttemptResult | undefined,
  ) => {
    if (!attempt?.hasCompleted) {
      report('doneWithoutRun', request.requestId);
      return;
    }
    if (request.access === 'read') checkReadDone(request, attempt);
    else if (request.access !== 'transaction') checkWriteDone(request, outcome, attempt);
  };

  const onAnswered: Oracle['onAnswered'] = ({ requestId, outcome, attempt, latestAt }) => {
    const request = requests.get(requestId);
    if (!request || outcomes.has(requestId)) {
      report('answeredTwice', requestId);
      return;
    }
    outcomes.set(requestId, outcome);
    const due =
      Math.max(deadlines.get(requestId) ?? now(), latestAt) + DEADLINE_TOLERANCE_MILLISECONDS;
    if (now() > due) {
      report('answeredLate', `${requestId} ${outcome.status}, due ${Math.round(due)}`);
    }
    if (!requestOutcomeSchema.safeParse(outcome).success) {
      report('malformedAnswer', `${requestId}: ${JSON.stringify(outcome)}`);
    }
    if (outcome.status === 'done') {
      checkDone(request, outcome, attempt);
      return;
    }
    counts[outcome.status] += 1;
    if (outcome.retryAfterMilliseconds <= 0) report('noTimeToComeBack', requestId);
  };

  // The end

  const checkKept = (
    request: RequestRecord,
    outcome: RequestOutcome,
    kept: Map<string, number>,
  ) => {
    const { requestId, writes, fails } = request;
    const timesKept = (write: string) => kept.get(write) ?? 0;
    const ran = (write: string) => executions.has(write);
    if (outcome.status === 'done' && !fails) {
      const lost = writes.filter((write) => timesKept(write) === 0);
      if (lost.length > 0) report('acknowledgedWriteLost', `${requestId}: ${lost.join(' ')}`);
    }
    if (outcome.status === 'notRun') {
      const ranAnyway = writes.filter(ran);
      if (ranAnyway.length > 0) report('notRunButRan', `${requestId}: ${ranAnyway.join(' ')}`);
    }
    if (outcome.status === 'discarded') {
      const isKept = writes.filter((write) => timesKept(write) > 0);
      if (isKept.length > 0) report('discardedButKept', `${requestId}: ${isKept.join(' ')}`);
    }
  };

  const checkWholeTransactions = (log: readonly LogEntry[]) => {
    log.forEach(({ writes, term, index }) => {
      const owners = new Set(writes.map(ownerOf));
      if (owners.size > 1) report('transactionMixed', `${term}:${index} ${writes.join(' ')}`);
    });
  };

  const checkFinalLog = (log: readonly LogEntry[]) => {
    const kept = new Map<string, number>();
    log.forEach(({ writes }) => {
      writes.forEach((write) => kept.set(write, (kept.get(write) ?? 0) + 1));
    });
    kept.forEach((times, write) => {
      if (times > 1) report('writeDoubled', `${write} ${times} times`);
    });
    executions.forEach((entries, write) => {
      if (entries.length > 1) report('ranMoreThanOnce', `${write} ${entries.length} times`);
    });
    checkWholeTransactions(log);
    requests.forEach((request, requestId) => {
      const outcome = outcomes.get(requestId);
      if (outcome) checkKept(request, outcome, kept);
      else if (deadlines.has(requestId) && !excused.has(requestId)) {
        report('neverAnswered', requestId);
      }
    });
  };

  return {
    onIssued: (request) => {
      counts.requests += 1;
      requests.set(request.requestId, request);
    },
    onArrived: (requestId) => {
      arrivals.set(requestId, now());
      deadlines.set(requestId, now() + requests.get(requestId)!.deadlineMilliseconds);
    },
    onExecuted: (entry) => {
      entry.writes.forEach((write) => {
        executions.set(write, [...(executions.get(write) ?? []), entry]);
      });
    },
    onAnswered,
    onProxyDied: (requestIds) => requestIds.forEach((requestId) => excused.add(requestId)),
    onCancelled: (requestId) => excused.add(requestId),
    report,
    checkFinalLog,
    violations: () => violations,
    acknowledgedAt: () => acknowledged.map(({ at }) => at),
    counts: () => counts,
  };
}

/** Writes of a transaction are named `<transaction>/<number>`. */
function ownerOf(write: string): string {
  return write.split('/')[0]!;
}

/** One line on where each member stands. @public */
export function describeGroup(databases: readonly FakeDatabase[]): string {
  return databases
    .map((database) => {
      const { member, role, currentTerm, logEnd } = database.status();
      const state = database.isUp() ? role : 'down';
      return `${member} ${state} t${currentTerm} end ${logEnd.term}:${logEnd.index}`;
    })
    .join(', ');
}
