import { createRetryBudget } from '../admission/retryBudget';
import { getTerm } from './memberTable';
import type { Member } from './memberTable';
import type { RequestCompletion } from './requestCompletion';
import type { RefusalReason, StatementResult } from './messages';
import { createDoneOutcome } from './outcomes';
import { canChangeData } from './requestContext';
import type { RequestContext } from './requestContext';
import type { TrackedRequest } from './requestTable';

/** Identifies one attempt to run a statement. @internal */
export interface AttemptReference {
  requestId: string;
  attempt: number;
}

/** Result of one attempt to run a statement. @internal */
export interface AttemptResult extends AttemptReference {
  result: StatementResult;
}

/** A caller's transaction whose BEGIN has completed. @internal */
export interface OpenTransaction {
  member: Member;
  /** Term of the primary on which it began. */
  term: number;
}

/** @internal */
export interface StatementAttempts {
  run: (request: TrackedRequest, member: Member, now: number) => void;
  /** Credits the retry budget for a new request. */
  recordArrival: (now: number) => void;
  onFinished: (finished: AttemptResult, now: number) => void;
  /**
   * Grants the time limit anew from each forwarded part of an answer: the limit bounds the wait for an
   * answer, not the time that a long one takes.
   */
  onAnswerContinued: (attempt: AttemptReference, now: number) => void;
  onTransactionFinished: (transactionId: string) => void;
  getTransaction: (request: TrackedRequest) => OpenTransaction | undefined;
  /** Ends the running attempt and frees its capacity; a response that arrives later is dropped. */
  cancelAttempt: (request: TrackedRequest, now: number) => void;
  /**
   * Cancels reads and BEGIN at members for which `isSilent` returns true, and completes writes there
   * as `unknown` once their primary has been replaced.
   */
  cancelSilentAttempts: (isSilent: (member: Member) => boolean, now: number) => void;
  /** First control request whose response can confirm the newest unconfirmed write. */
  getFirstConfirmingRequestId: () => number;
  /** First control request that tells the incarnation of a member that refused a statement for its own. */
  getFirstIdentifyingRequestId: () => number;
  /** Open transactions plus running statements at the member; a running COMMIT counts in both. */
  countInFlight: (member: string) => number;
}

/** No statements are sent to a member for this long after it refused a connection. */
const MEMBER_AVOIDANCE_MILLISECONDS = 25;
/** Retries allowed regardless of the share of first attempts. */
const MINIMUM_RETRIES = 10;

/**
 * Sends statements to members, handles their results and retries where that is safe.
 *
 * @internal
 */
export function createStatementAttempts(
  context: RequestContext,
  completion: RequestCompletion,
): StatementAttempts {
  const { policy, members, capacity, requests, unconfirmedWrites, getQueue, record, emit } =
    context;
  const { scheduleDispatch, peekNextControlRequestId } = context;
  const { complete, reject, completeAfterLoss } = completion;
  const budget = createRetryBudget({
    retryRatio: policy.retryShare,
    minimumTokens: MINIMUM_RETRIES,
  });
  const transactions = new Map<string, OpenTransaction>();
  let firstConfirmingRequestId = 0;
  let firstIdentifyingRequestId = 0;

  function run(request: TrackedRequest, member: Member, now: number): void {
    request.phase = 'running';
    request.attempt += 1;
    request.member = member;
    request.term = getTerm(member);
    request.startedAt = now;
    request.answer = undefined;
    if (request.access !== 'commit') capacity.takeConnection(member);
    capacity.startStatement(member);
    const { requestId, attempt } = request;
    const incarnation = member.status?.incarnation ?? '';
    emit({ type: 'runStatement', requestId, attempt, member: member.name, incarnation });
  }

  const resultHandlers: {
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

  function findRunning({ requestId, attempt }: AttemptReference): TrackedRequest | undefined {
    const request = requests.get(requestId);
    return request?.phase === 'running' && request.attempt === attempt ? request : undefined;
  }

  function onAnswerContinued(attempt: AttemptReference, now: number): void {
    const request = findRunning(attempt);
    if (!request) return;
    request.answer = { firstAt: request.answer?.firstAt ?? now, lastAt: now };
    request.deadlineAt = now + request.limitMilliseconds;
  }

  function onFinished({ requestId, attempt, result }: AttemptResult, now: number): void {
    const request = findRunning({ requestId, attempt });
    if (!request) return;
    const { member } = request;
    const isConnectionKept = request.access === 'transaction' && result.kind === 'completed';
    if (member) releaseCapacity(request, member, isConnectionKept, now);
    scheduleDispatch();
    const handleResult = resultHandlers[result.kind] as (
      request: TrackedRequest,
      result: StatementResult,
      now: number,
    ) => void;
    handleResult(request, result, now);
  }

  function releaseCapacity(
    request: TrackedRequest,
    member: Member,
    isConnectionKept: boolean,
    now: number,
  ): void {
    const milliseconds = now - request.startedAt;
    capacity.finishStatement(member, milliseconds);
    getQueue(request).recordCompletion(milliseconds, now);
    if (isConnectionKept) transactions.set(request.requestId, { member, term: request.term });
    else if (request.access !== 'commit') capacity.releaseConnection(member);
  }

  function onCompleted(
    request: TrackedRequest,
    result: Extract<StatementResult, { kind: 'completed' }>,
    now: number,
  ): void {
    if (!canChangeData(request.access)) {
      complete(request, createDoneOutcome(undefined));
      return;
    }
    request.phase = 'awaitingConfirmation';
    request.hasPossiblyRun = true;
    request.position = result.position;
    request.term = result.position?.term ?? request.term;
    firstConfirmingRequestId = peekNextControlRequestId();
    unconfirmedWrites.add({
      requestId: request.requestId,
      term: request.term,
      position: result.position,
      firstControlRequestId: firstConfirmingRequestId,
      completedAt: now,
    });
  }

  /**
   * A statement that fails changes no data; it completes as `done` and the caller receives the
   * database's error.
   */
  function onDatabaseError(request: TrackedRequest): void {
    complete(request, createDoneOutcome(undefined));
  }

  const refusalHandlers: Record<RefusalReason, (member: Member, now: number) => void> = {
    connectionLimit: (member, now) => {
      capacity.onConnectionRefused(member, now);
      avoidMember(member, now);
    },
    connectFailed: avoidMember,
    otherIncarnation: onOtherIncarnation,
    notPrimary: ({ name }) => members.rejectPrimaryClaimBefore(name, peekNextControlRequestId()),
    stopping: () => {},
  };

  /** What is known of the member is about a database that has ended, so its status is asked for again. */
  function onOtherIncarnation(member: Member, now: number): void {
    avoidMember(member, now);
    firstIdentifyingRequestId = peekNextControlRequestId();
  }

  function avoidMember(member: Member, now: number): void {
    Object.assign(member, { avoidUntil: now + MEMBER_AVOIDANCE_MILLISECONDS });
  }

  /**
   * A refused statement did not run, so a retry cannot run it twice. This holds also for requests
   * that are not repeatable.
   */
  function onRefused(
    request: TrackedRequest,
    { reason }: Extract<StatementResult, { kind: 'refused' }>,
    now: number,
  ): void {
    const { member } = request;
    if (member) refusalHandlers[reason](member, now);
    if (reason === 'stopping') reject(request, 'stopping', now);
    else if (request.access === 'commit') reject(request, 'refusedByDatabase', now);
    else retry(request, reason, now);
  }

  function onLost(
    request: TrackedRequest,
    { answerStarted }: Extract<StatementResult, { kind: 'lost' }>,
    now: number,
  ): void {
    request.hasPossiblyRun = true;
    const canRetry = !canChangeData(request.access) && request.isRepeatable && !answerStarted;
    if (canRetry) retry(request, 'lost', now);
    else completeAfterLoss(request);
  }

  function retry(request: TrackedRequest, reason: string, now: number): void {
    request.avoidedMember = request.member?.name;
    if (!budget.trySpendRetry(now)) {
      reject(request, 'refusedByDatabase', now);
      return;
    }
    const { requestId, attempt } = request;
    record({ name: 'requestRetried', requestId, attempt: attempt + 1, reason });
    request.phase = 'queued';
    getQueue(request).requeue(request);
  }

  function onTransactionFinished(transactionId: string): void {
    const transaction = transactions.get(transactionId);
    if (!transaction) return;
    transactions.delete(transactionId);
    capacity.releaseConnection(transaction.member);
    scheduleDispatch();
  }

  function cancelAttempt(request: TrackedRequest, now: number): void {
    const { requestId, attempt } = request;
    const { member } = request;
    if (member) releaseCapacity(request, member, false, now);
    request.hasPossiblyRun = true;
    scheduleDispatch();
    emit({ type: 'abandonStatement', requestId, attempt });
  }

  /**
   * A frozen database keeps its connections open, so callers would wait until their deadline.
   * Reads are retried on another member; writes end as unknown once the primary is replaced.
   */
  function cancelSilentAttempts(isSilent: (member: Member) => boolean, now: number): void {
    members
      .list()
      .filter((member) => capacity.countRunning(member) > 0 && isSilent(member))
      .forEach((member) => cancelAttemptsAt(member, now));
  }

  function cancelAttemptsAt(member: Member, now: number): void {
    for (const request of requests.values()) {
      if (request.phase !== 'running' || request.member?.name !== member.name) continue;
      if (!canChangeData(request.access)) cancelReadForRetry(request);
      else if ((members.getMajorityTerm() ?? 0) > request.term) onPrimaryReplaced(request, now);
    }
  }

  /**
   * Cancels an attempt at a read or BEGIN; its capacity is freed when the result `lost` arrives, and
   * the request is then retried if that is safe. An answer that was forwarded in part cannot be
   * retried, so it is left to complete.
   *
   * Done at most once per request: a long read can make a busy database look frozen, and cancelling
   * it at each member in turn would never let it finish.
   */
  function cancelReadForRetry(request: TrackedRequest): void {
    if (request.hasCancelledAttempt || request.answer) return;
    const { requestId, attempt } = request;
    request.hasCancelledAttempt = true;
    emit({ type: 'abandonStatement', requestId, attempt, reportsLoss: true });
  }

  function onPrimaryReplaced(request: TrackedRequest, now: number): void {
    cancelAttempt(request, now);
    completeAfterLoss(request);
  }

  function countInFlight(name: string): number {
    const open = [...transactions.values()].filter(({ member }) => member.name === name).length;
    const member = members.get(name);
    return open + (member ? capacity.countRunning(member) : 0);
  }

  return {
    run,
    recordArrival: budget.recordFirstAttempt,
    onFinished,
    onAnswerContinued,
    onTransactionFinished,
    getTransaction: ({ transactionId }) => transactions.get(transactionId ?? ''),
    cancelAttempt,
    cancelSilentAttempts,
    getFirstConfirmingRequestId: () => firstConfirmingRequestId,
    getFirstIdentifyingRequestId: () => firstIdentifyingRequestId,
    countInFlight,
  };
}
