import { createRetryBudget } from '../admission/retryBudget';
import { termOf } from './memberTable';
import type { Member } from './memberTable';
import type { FinalAnswers } from './finalAnswers';
import type { RefusalReason, StatementResult } from './messages';
import { done } from './outcomes';
import { changesData } from './requestContext';
import type { RequestContext } from './requestContext';
import type { TrackedRequest } from './requestTable';

/** How one attempt ended. @internal */
export interface StatementFinish {
  requestId: string;
  attempt: number;
  result: StatementResult;
}

/** A transaction of a caller between its BEGIN and its end. @internal */
export interface OpenTransaction {
  member: Member;
  /** Term of the primary that it began at. */
  term: number;
}

/** @internal */
export interface Attempts {
  run: (request: TrackedRequest, member: Member, now: number) => void;
  onFirstTry: (now: number) => void;
  onFinished: (finish: StatementFinish, now: number) => void;
  onTransactionFinished: (transactionId: string) => void;
  transactionOf: (request: TrackedRequest) => OpenTransaction | undefined;
  /** Ends the running attempt; its late answer is dropped. */
  abandon: (request: TrackedRequest, now: number) => void;
  /** Ends attempts at members for which `isSilent` holds. */
  breakSilent: (isSilent: (member: Member) => boolean, now: number) => void;
  /** First question whose answers may confirm the newest held write. */
  newestHeldQuestionId: () => number;
  /** Statements and transactions of this instance at the member. */
  inFlight: (member: string) => number;
}

/** No statement goes to a member for this long after it refused a connection. */
const REFUSED_CONNECTION_PAUSE_MILLISECONDS = 25;
/** Retries that a quiet instance may always make. */
const MINIMUM_RETRIES = 10;

/**
 * Creates the attempts at statements: sending, the four ways in which one ends, and retries.
 *
 * @internal
 */
export function createAttempts(context: RequestContext, answers: FinalAnswers): Attempts {
  const { policy, members, places, requests, held, queueOf, record, emit } = context;
  const { markRoutes, nextQuestionId } = context;
  const { answer, giveUp, leaveOpen } = answers;
  const budget = createRetryBudget({ share: policy.retryShare, minimumTokens: MINIMUM_RETRIES });
  const transactions = new Map<string, OpenTransaction>();
  let newestHeldQuestionId = 0;

  function run(request: TrackedRequest, member: Member, now: number): void {
    request.phase = 'running';
    request.attempt += 1;
    request.member = member;
    request.term = termOf(member);
    request.startedAt = now;
    if (request.access !== 'commit') places.takeConnection(member);
    places.startStatement(member);
    const { requestId, attempt } = request;
    emit({ type: 'runStatement', requestId, attempt, member: member.name });
  }

  const finishes: {
    [Kind in StatementResult['kind']]: (
      request: TrackedRequest,
      result: Extract<StatementResult, { kind: Kind }>,
      now: number,
    ) => void;
  } = {
    completed: onCompleted,
    databaseError: onDatabaseError,
    refused: onRefused,
    lost: onLost,
  };

  function onFinished({ requestId, attempt, result }: StatementFinish, now: number): void {
    const request = requests.get(requestId);
    if (request?.phase !== 'running' || request.attempt !== attempt) return;
    const { member } = request;
    const isKept = request.access === 'transaction' && result.kind === 'completed';
    if (member) releasePlace(request, member, isKept, now);
    markRoutes();
    const finish = finishes[result.kind] as (
      request: TrackedRequest,
      result: StatementResult,
      now: number,
    ) => void;
    finish(request, result, now);
  }

  function releasePlace(
    request: TrackedRequest,
    member: Member,
    isKept: boolean,
    now: number,
  ): void {
    const milliseconds = now - request.startedAt;
    places.finishStatement(member, milliseconds);
    queueOf(request).recordCompletion(milliseconds, now);
    if (isKept) transactions.set(request.requestId, { member, term: request.term });
    else if (request.access !== 'commit') places.releaseConnection(member);
  }

  function onCompleted(
    request: TrackedRequest,
    result: Extract<StatementResult, { kind: 'completed' }>,
    now: number,
  ): void {
    if (!changesData(request.access)) {
      answer(request, done(undefined));
      return;
    }
    request.phase = 'held';
    request.mayHaveRun = true;
    request.position = result.position;
    request.term = result.position?.term ?? request.term;
    newestHeldQuestionId = nextQuestionId();
    held.hold({
      requestId: request.requestId,
      term: request.term,
      position: result.position,
      firstQuestionId: newestHeldQuestionId,
      completedAt: now,
    });
  }

  /** The database's own error is the answer; nothing was changed that a majority could confirm. */
  function onDatabaseError(request: TrackedRequest): void {
    answer(request, done(undefined));
  }

  const refusals: Record<RefusalReason, (member: Member, now: number) => void> = {
    connectionLimit: (member, now) => {
      places.onConnectionRefused(member, now);
      avoidForAWhile(member, now);
    },
    connectFailed: avoidForAWhile,
    notPrimary: ({ name }) => members.distrust(name, nextQuestionId()),
    stopping: () => {},
  };

  function avoidForAWhile(member: Member, now: number): void {
    Object.assign(member, { avoidUntil: now + REFUSED_CONNECTION_PAUSE_MILLISECONDS });
  }

  /**
   * A refused attempt did not run, so it may be made again, also for a request that is not
   * repeatable: "sent at most once" guards against running twice, and a refusal is the database's or
   * the connection's word that it did not run once.
   */
  function onRefused(
    request: TrackedRequest,
    { reason }: Extract<StatementResult, { kind: 'refused' }>,
    now: number,
  ): void {
    const { member } = request;
    if (member) refusals[reason](member, now);
    if (reason === 'stopping') giveUp(request, 'stopping', now);
    else if (request.access === 'commit') giveUp(request, 'refusedByDatabase', now);
    else retry(request, reason, now);
  }

  function onLost(
    request: TrackedRequest,
    { answerStarted }: Extract<StatementResult, { kind: 'lost' }>,
    now: number,
  ): void {
    request.mayHaveRun = true;
    const mayRepeat = !changesData(request.access) && request.isRepeatable && !answerStarted;
    if (mayRepeat) retry(request, 'lost', now);
    else leaveOpen(request);
  }

  function retry(request: TrackedRequest, reason: string, now: number): void {
    request.avoid = request.member?.name;
    if (!budget.tryRetry(now)) {
      giveUp(request, 'refusedByDatabase', now);
      return;
    }
    const { requestId, attempt } = request;
    record({ name: 'requestRetried', requestId, attempt: attempt + 1, reason });
    request.phase = 'queued';
    queueOf(request).putBack(request);
  }

  function onTransactionFinished(transactionId: string): void {
    const transaction = transactions.get(transactionId);
    if (!transaction) return;
    transactions.delete(transactionId);
    places.releaseConnection(transaction.member);
    markRoutes();
  }

  function abandon(request: TrackedRequest, now: number): void {
    const { requestId, attempt } = request;
    const { member } = request;
    if (member) releasePlace(request, member, false, now);
    request.mayHaveRun = true;
    markRoutes();
    emit({ type: 'abandonStatement', requestId, attempt });
  }

  /**
   * Guards against an answer that never comes: a frozen database keeps its connections open, and the
   * caller would wait for its whole deadline. A read goes to another member. A write stays unknown,
   * and is called so as soon as its primary was replaced; until then the answer may still come.
   */
  function breakSilent(isSilent: (member: Member) => boolean, now: number): void {
    members
      .list()
      .filter((member) => places.running(member) > 0 && isSilent(member))
      .forEach((member) => breakAttempts(member, now));
  }

  function breakAttempts(member: Member, now: number): void {
    for (const request of requests.values()) {
      if (request.phase !== 'running' || request.member?.name !== member.name) continue;
      if (!changesData(request.access)) breakAttempt(request);
      else if ((members.knownTerm() ?? 0) > request.term) onReplacedInFlight(request, now);
    }
  }

  /**
   * Whether a part of the answer has reached the caller is known where the connection is owned.
   *
   * A request is taken away once only: a long read keeps a database busy, which looks like a frozen
   * one, and taken from each member in turn it would never end.
   */
  function breakAttempt(request: TrackedRequest): void {
    if (request.wasTakenAway) return;
    const { requestId, attempt } = request;
    request.wasTakenAway = true;
    emit({ type: 'abandonStatement', requestId, attempt, reportsLoss: true });
  }

  function onReplacedInFlight(request: TrackedRequest, now: number): void {
    abandon(request, now);
    leaveOpen(request);
  }

  function inFlight(name: string): number {
    const open = [...transactions.values()].filter(({ member }) => member.name === name).length;
    const member = members.get(name);
    return open + (member ? places.running(member) : 0);
  }

  return {
    run,
    onFirstTry: budget.recordFirstTry,
    onFinished,
    onTransactionFinished,
    transactionOf: ({ transactionId }) => transactions.get(transactionId ?? ''),
    abandon,
    breakSilent,
    newestHeldQuestionId: () => newestHeldQuestionId,
    inFlight,
  };
}
