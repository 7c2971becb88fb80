import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import {
  attemptCommand,
  handleUnknownStatement,
  recordLatency,
  runWithDeadline,
} from './attemptCommand';
import type { AttemptOutcome } from './attemptCommand';
import { prepareConnection } from './connectionPreparation';
import { createSequencedTime, logIfLeaving, observeAnswer } from './groupContext';
import type { StatementRunner, OpenTransactionOptions, Transaction } from './statementRunner';
import type { GroupContext } from './groupContext';
import { releaseConnection } from './releaseConnection';
import type { Member } from './member';
import { findOwnCommit, handleMissingCommit } from './ownCommit';
import { planPolls } from './primaryVerifier';
import type { PrimaryVerifier } from './primaryVerifier';
import type { ReadRouter } from './readRouter';
import { refuseStatement, refuseTemporarily, refuseUnroutable } from './refusals';
import { isWrite, toCommand } from './statementRequest';
import type { StatementRequest } from './statementRequest';
import type { SoleMemberGuard } from './soleMemberGuard';
import type { PooledConnection } from './upstreamPool';
import type { WriteRouter } from './writeRouter';

export interface TransactionOpener {
  open: StatementRunner['openTransaction'];
}

/** Precedes callers' statements, whose priorities start at 0; lower goes first. */
const TRANSACTION_PRIORITY = -1;

/** Pause before a statement that a busy member refused is retried. */
const BUSY_RETRY_DELAY_MILLISECONDS = 20;

/** Outcome of a statement in a transaction. */
type StepOutcome =
  | { type: 'answered'; answer: UpstreamAnswer }
  /** The transaction cannot go on: no answer came, or the statement could not be sent in time. */
  | { type: 'lost'; cause: 'timeout' | 'broken' | 'unsent' }
  /** The member takes no new transactions; the first statement only. */
  | { type: 'notSent' };

interface OpenedTransaction {
  member: Member;
  connection: PooledConnection;
  /** Whether reads of the transaction are current; answers are held until this resolves. */
  verification: Promise<boolean>;
}

export function createTransactionOpener(
  context: GroupContext,
  components: {
    reads: ReadRouter;
    writes: WriteRouter;
    primaryVerifier: PrimaryVerifier;
    soleMemberGuard: SoleMemberGuard;
  },
): TransactionOpener {
  const { clock } = context;
  const { reads, writes, primaryVerifier, soleMemberGuard } = components;

  async function open(
    request: StatementRequest,
    { isReadOnly, beginStamp }: OpenTransactionOptions,
  ): Promise<{ transaction: Transaction } | { refusal: UpstreamAnswer }> {
    const canReadReplica = isReadOnly && request.route.consistency !== 'primary';
    const opened = canReadReplica
      ? await openOnReplica(request)
      : await openOnPrimary(request, { isReadOnly, beginStamp });
    return 'refusal' in opened ? opened : { transaction: createTransaction(opened) };
  }

  async function openOnReplica(
    request: StatementRequest,
  ): Promise<OpenedTransaction | { refusal: UpstreamAnswer }> {
    const createBeginCommand = (after?: Position): UpstreamCommand => ({
      type: 'begin',
      isReadOnly: true,
      after,
    });
    const { answer, routed } = await reads.run(request, createBeginCommand);
    if (!routed) return { refusal: answer };
    return { ...routed, verification: Promise.resolve(true) };
  }

  async function openOnPrimary(
    request: StatementRequest,
    { isReadOnly, beginStamp }: OpenTransactionOptions,
  ): Promise<OpenedTransaction | { refusal: UpstreamAnswer }> {
    const { deadlineAt } = request;
    let confirmedTerm = 0;
    const result = await writes.runOnPrimary(request, {
      isWrite: false,
      run: async (member) => {
        confirmedTerm = context.primaryTracker.getConfirmedTerm(member.entry.memberId);
        const after = findOwnCommit(request)?.position;
        const command: UpstreamCommand = { type: 'begin', isReadOnly, after };
        const outcome = await attemptCommand(context, member, { request, command, deadlineAt });
        if (isLagging(outcome)) {
          handleMissingCommit(context, request, { member, after, answer: outcome.answer });
        }
        return outcome;
      },
    });
    if (result?.outcome.type !== 'answered') return { refusal: refuseBegin(request) };
    const { member, outcome } = result;
    const { answer, connection } = outcome;
    if (answer.outcome === 'refused' || !answer.position) {
      releaseConnection(context, { member, connection, transaction: answer.transaction });
      const isFinal = answer.outcome === 'refused' && answer.reason === 'malformed';
      return { refusal: isFinal ? answer : refuseBegin(request) };
    }
    const verification = primaryVerifier.verifyCurrent({
      member,
      term: answer.position.term,
      confirmedTerm,
      eventStamp: beginStamp,
      maximumStaleness: request.route.maximumStaleness,
      polls: planPolls(context, request.route),
      deadlineAt,
    });
    return { member, connection, verification };
  }

  function refuseBegin(request: StatementRequest): UpstreamAnswer {
    const detail = soleMemberGuard.describeRefusal() ?? 'no member can take the transaction';
    return refuseUnroutable(context, request, 'busy', detail);
  }

  function createTransaction({ member, connection, verification }: OpenedTransaction): Transaction {
    let hasWritten = false;
    let hasRun = false;
    let isEnded = false;
    let lastStep: Promise<unknown> = Promise.resolve();
    const unpin = member.pool.pin();

    /** Ends the transaction; its connection must not be used afterwards. */
    function end(): void {
      isEnded = true;
      unpin();
    }

    /**
     * Runs steps sequentially. A rollback during a commit would release the connection twice, and
     * two sessions would share it.
     */
    function runInOrder<Value>(step: () => Promise<Value>): Promise<Value> {
      const next = lastStep.then(step);
      lastStep = next.catch(() => undefined);
      return next;
    }

    function discard(): void {
      end();
      member.pool.discard(connection);
    }

    async function sendOnce(request: StatementRequest): Promise<StepOutcome> {
      const queuedAt = clock.now();
      const prepared = await prepareForStatement(request);
      if (prepared.type !== 'ready') return prepared;
      const deadlineAt = calculateSendDeadline(request);
      // The transaction holds a connection and locks, so its statements take priority.
      const { goal } = request.route;
      const admissionRequest = {
        priority: TRANSACTION_PRIORITY,
        goal,
        arrivedAt: clock.now(),
        deadlineAt,
        hasConnection: true,
        team: request.team,
      };
      const admissionResult = await member.admission.requestAdmission(admissionRequest);
      if (admissionResult !== 'admitted') {
        return canRun() ? { type: 'lost', cause: 'unsent' } : { type: 'notSent' };
      }
      if (!canRun()) {
        member.admission.release(admissionRequest);
        return { type: 'notSent' };
      }
      if (!hasRun) logIfLeaving(context, member, { requestId: request.id, queuedAt });
      const sentStamp = createSequencedTime(context);
      const command = toCommand(request);
      const running = runWithDeadline(context, {
        connection,
        command,
        deadlineAt: request.deadlineAt,
      });
      const outcome = await running.finally(() => member.admission.release(admissionRequest));
      recordLatency(context, member, sentStamp, outcome);
      if (!hasWritten && !isWrite(request) && !hasStatementFailed(outcome)) {
        context.failureEjection.recordRun(member, { request, command, sentStamp, outcome });
      }
      hasRun ||= !isBusy(outcome);
      if (outcome.type !== 'answered') return outcome;
      observeAnswer(context, member, sentStamp, outcome.answer);
      const { hasPrepared } = prepared;
      const { answer } = outcome;
      return {
        type: 'answered',
        answer: handleUnknownStatement(context, request, { connection, hasPrepared, answer }),
      };
    }

    /** Whether the transaction has run statements or the member still accepts new transactions. */
    function canRun(): boolean {
      return hasRun || context.leavingPolicy.canAccept(member);
    }

    function calculateSendDeadline({ deadlineAt }: StatementRequest): number {
      return hasRun ? deadlineAt : context.leavingPolicy.limitDeadline(member, deadlineAt);
    }

    /** @returns the outcome of the statement unless the connection is ready for it. */
    async function prepareForStatement(
      request: StatementRequest,
    ): Promise<StepOutcome | { type: 'ready'; hasPrepared: boolean }> {
      const { deadlineAt } = request;
      const options = { connection, request, deadlineAt };
      const preparation = await prepareConnection(context, member, options);
      if (preparation.type === 'ready') return preparation;
      if (preparation.type === 'refused') return { type: 'answered', answer: preparation.answer };
      return { type: 'lost', cause: 'unsent' };
    }

    async function run(request: StatementRequest): Promise<UpstreamAnswer> {
      if (isEnded) return refuseAborted(request, 'the transaction has ended');
      const outcome = await runWithRetries(request);
      if (outcome.type === 'notSent') return refuseFirstStatement(request);
      if (outcome.type === 'lost') {
        discard();
        context.suspectPrimary('silent', member);
        // The member rolls the transaction back because the connection is closed.
        return refuseAborted(request, 'the member did not answer within the transaction');
      }
      if (isWrite(request)) hasWritten = true;
      if (!(await verification)) {
        rollBack();
        return refuseAborted(request, 'the primary may have been replaced');
      }
      return outcome.answer;
    }

    /** Retries a statement that a member was too busy for, or had lost, until the deadline. */
    async function runWithRetries(request: StatementRequest): Promise<StepOutcome> {
      let outcome = await sendOnce(request);
      while (
        canRunAgain(outcome) &&
        clock.now() + BUSY_RETRY_DELAY_MILLISECONDS < request.deadlineAt
      ) {
        await clock.sleep(BUSY_RETRY_DELAY_MILLISECONDS);
        outcome = await sendOnce(request);
      }
      return outcome;
    }

    async function commit(request: StatementRequest): Promise<UpstreamAnswer> {
      if (isEnded) return refuseAborted(request, 'the transaction has ended');
      const unconfirmable = hasWritten ? soleMemberGuard.describeRefusal() : undefined;
      if (unconfirmable) {
        rollBack();
        return refuseAborted(request, unconfirmable);
      }
      const outcome = await runWithRetries(request);
      if (outcome.type === 'notSent') return refuseFirstStatement(request);
      if (outcome.type === 'lost') {
        discard();
        context.suspectPrimary('silent', member);
        if (outcome.cause === 'unsent') {
          return refuseAborted(request, 'the commit could not be sent in time');
        }
        if (!hasWritten) return refuseAborted(request, 'the member did not answer the commit');
        return refuseStatement(
          context,
          request,
          'unknownOutcome',
          'the primary did not answer the commit',
        );
      }
      const { answer } = outcome;
      end();
      releaseConnection(context, { member, connection, transaction: answer.transaction });
      if (!(await verification)) return answerUnverifiedCommit(request, answer);
      return hasWritten ? writes.confirmCommit(request, member, answer) : answer;
    }

    /** Answers a commit whose reads could not be verified as current. */
    function answerUnverifiedCommit(
      request: StatementRequest,
      answer: UpstreamAnswer,
    ): UpstreamAnswer {
      if (answer.outcome === 'refused') return answer;
      if (!hasWritten) return refuseAborted(request, 'the primary may have been replaced');
      return refuseStatement(
        context,
        request,
        'unknownOutcome',
        'the primary may have been replaced',
      );
    }

    function rollBack(): void {
      if (isEnded) return;
      end();
      releaseConnection(context, { member, connection, transaction: 'open' });
    }

    function refuseFirstStatement(request: StatementRequest): UpstreamAnswer {
      rollBack();
      const answer = refuseTemporarily(context, request, 'aborted', 'the member is leaving');
      return { ...answer, transaction: 'failed' };
    }

    function refuseAborted(request: StatementRequest, detail: string): UpstreamAnswer {
      return { ...refuseStatement(context, request, 'aborted', detail), transaction: 'failed' };
    }

    return {
      run: (request) => runInOrder(() => run(request)),
      commit: (request) => runInOrder(() => commit(request)),
      rollBack: () => {
        void runInOrder(async () => rollBack());
      },
    };
  }

  return { open };
}

/**
 * Whether the statement failed or ran out of time. In a transaction it is not repeated elsewhere, so
 * nothing tells whether the fault is its own or the member's.
 */
function hasStatementFailed(outcome: Awaited<ReturnType<typeof runWithDeadline>>): boolean {
  if (outcome.type === 'lost') return outcome.cause === 'timeout';
  return outcome.answer.outcome === 'refused';
}

function isLagging(outcome: AttemptOutcome): outcome is AttemptOutcome & { type: 'answered' } {
  if (outcome.type !== 'answered' || outcome.answer.outcome !== 'refused') return false;
  return outcome.answer.reason === 'lagging';
}

/** Whether the statement did not run and the transaction is still open for it. */
function canRunAgain(outcome: StepOutcome): boolean {
  if (outcome.type !== 'answered' || outcome.answer.outcome !== 'refused') return false;
  const { reason, transaction } = outcome.answer;
  return transaction === 'open' && (reason === 'busy' || reason === 'unknownStatement');
}

function isBusy(outcome: StepOutcome): boolean {
  if (outcome.type !== 'answered' || outcome.answer.outcome !== 'refused') return false;
  return outcome.answer.reason === 'busy' && outcome.answer.transaction === 'open';
}
