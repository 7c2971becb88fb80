import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { attempt, recordLatency, runWithin } from './attempt';
import { markAsked, noteLeaving, observeAnswer } from './groupContext';
import type { GroupAccess, OpenOptions, Transaction } from './groupAccess';
import type { GroupContext } from './groupContext';
import { giveBack } from './giveBack';
import type { Member } from './member';
import { patienceOf } from './primaryProof';
import type { PrimaryProof } from './primaryProof';
import type { ReadPath } from './readPath';
import { refuse, refuseForNow, refuseUnplaced } from './refusals';
import { isWrite, toCommand } from './statementRequest';
import type { StatementRequest } from './statementRequest';
import { prepareConnection } from './upstreamPool';
import type { PooledConnection } from './upstreamPool';
import type { WritePath } from './writePath';

export interface TransactionOpener {
  open: GroupAccess['openTransaction'];
}

/** Before the priorities of callers, which start at 0. */
const TRANSACTION_PRIORITY = -1;

/** Pause before a statement that a busy member refused is sent again. */
const BUSY_PAUSE_MILLISECONDS = 20;

/** How one statement of a transaction ended; `notSent` is possible for the first one alone. */
type StepOutcome =
  { type: 'answered'; answer: UpstreamAnswer } | { type: 'lost' } | { type: 'notSent' };

interface OpenedAt {
  member: Member;
  connection: PooledConnection;
  /** Resolves with whether what it reads is current; nothing is answered before. */
  isCurrent: Promise<boolean>;
}

export function createTransactionOpener(
  context: GroupContext,
  paths: { reads: ReadPath; writes: WritePath; proof: PrimaryProof },
): TransactionOpener {
  const { clock, logger, group } = context;
  const { reads, writes, proof } = paths;

  async function open(
    request: StatementRequest,
    { isReadOnly, began }: OpenOptions,
  ): Promise<{ transaction: Transaction } | { refusal: UpstreamAnswer }> {
    const mayReadReplica = isReadOnly && request.route.consistency !== 'primary';
    const opened = mayReadReplica
      ? await openForReads(request)
      : await openAtPrimary(request, { isReadOnly, began });
    return 'refusal' in opened ? opened : { transaction: createTransaction(opened) };
  }

  async function openForReads(
    request: StatementRequest,
  ): Promise<OpenedAt | { refusal: UpstreamAnswer }> {
    const toBegin = (after?: Position): UpstreamCommand => ({
      type: 'begin',
      isReadOnly: true,
      after,
    });
    const { answer, place } = await reads.place(request, toBegin);
    if (!place) return { refusal: answer };
    return { ...place, isCurrent: Promise.resolve(true) };
  }

  async function openAtPrimary(
    request: StatementRequest,
    { isReadOnly, began }: OpenOptions,
  ): Promise<OpenedAt | { refusal: UpstreamAnswer }> {
    const { deadlineAt } = request;
    const command: UpstreamCommand = { type: 'begin', isReadOnly };
    const ran = await writes.runAtPrimary(request, {
      provesPrimary: !isReadOnly,
      run: (member) => attempt(context, member, { request, command, deadlineAt }),
    });
    if (ran?.outcome.type !== 'answered') return { refusal: refuseBegin(request) };
    const { member, outcome } = ran;
    const { answer, connection } = outcome;
    if (answer.outcome === 'refused' || !answer.position) {
      giveBack(context, { member, connection, transaction: answer.transaction });
      return { refusal: refuseBegin(request) };
    }
    const isCurrent = proof.proveCurrent({
      member,
      term: answer.position.term,
      arrived: began,
      maximumStaleness: request.route.maximumStaleness,
      patience: patienceOf(request.route),
      deadlineAt,
    });
    return { member, connection, isCurrent };
  }

  function refuseBegin(request: StatementRequest): UpstreamAnswer {
    return refuseUnplaced(context, request, 'busy', 'no member can take the transaction');
  }

  function createTransaction({ member, connection, isCurrent }: OpenedAt): Transaction {
    let hasWritten = false;
    let hasRun = false;
    let isEnded = false;
    let work: Promise<unknown> = Promise.resolve();
    const unpin = member.pool.pin();

    /** From here on the connection belongs to the pool again, or to nobody. */
    function end(): void {
      isEnded = true;
      unpin();
    }

    /**
     * Takes one step after the other. A caller may leave while its commit is at the member; a
     * roll-back beside it would give the connection back a second time, and two sessions would share
     * it.
     */
    function inOrder<Value>(step: () => Promise<Value>): Promise<Value> {
      const next = work.then(step);
      work = next.catch(() => undefined);
      return next;
    }

    function discard(): void {
      end();
      member.pool.discard(connection);
    }

    async function runOnce(request: StatementRequest): Promise<StepOutcome> {
      const { session, prepared } = request;
      const placedAt = clock.now();
      const refused = await prepareWithin(request, session.state, prepared?.statement);
      if (refused) return refused;
      const deadlineAt = sendBy(request);
      // The transaction holds a connection and locks, so its statements go before new ones.
      const { goal } = request.route;
      const passage = {
        priority: TRANSACTION_PRIORITY,
        goal,
        arrivedAt: clock.now(),
        deadlineAt,
        hasConnection: true,
      };
      const admission = await member.gate.enter(passage);
      if (admission !== 'admitted') return { type: mayBegin() ? 'lost' : 'notSent' };
      if (!mayBegin()) {
        member.gate.leave(passage);
        return { type: 'notSent' };
      }
      if (!hasRun) noteLeaving(context, member, { requestId: request.id, placedAt });
      const asked = markAsked(context);
      const command = toCommand(request);
      const running = runWithin(context, { connection, command, deadlineAt: request.deadlineAt });
      const outcome = await running.finally(() => member.gate.leave(passage));
      recordLatency(context, member, asked, outcome);
      if (outcome.type === 'answered') observeAnswer(context, member, asked, outcome.answer);
      hasRun ||= !isBusy(outcome);
      return outcome;
    }

    /** An open transaction goes on at a member that leaves; it does not begin there too late. */
    function mayBegin(): boolean {
      return hasRun || context.leaving.mayTake(member);
    }

    function sendBy({ deadlineAt }: StatementRequest): number {
      return hasRun ? deadlineAt : context.leaving.sendBy(member, deadlineAt);
    }

    async function prepareWithin(
      request: StatementRequest,
      ...[session, statement]: [
        StatementRequest['session']['state'],
        Parameters<typeof prepareConnection>[2],
      ]
    ): Promise<StepOutcome | undefined> {
      try {
        const answer = await prepareConnection(connection, session, statement);
        return answer && { type: 'answered', answer };
      } catch (error) {
        logger.warn('transactionConnectionLost', {
          group,
          requestId: request.id,
          memberId: member.entry.memberId,
          error: error as Error,
        });
        return { type: 'lost' };
      }
    }

    async function run(request: StatementRequest): Promise<UpstreamAnswer> {
      if (isEnded) return refuseAborted(request, 'the transaction has ended');
      const outcome = await runPatiently(request);
      if (outcome.type === 'notSent') return refuseFirst(request);
      if (outcome.type === 'lost') {
        discard();
        context.suspectPrimary('silent', member);
        // The connection is closed, and a member rolls back what a closed connection had begun.
        return refuseAborted(request, 'the member did not answer within the transaction');
      }
      if (isWrite(request)) hasWritten = true;
      if (!(await isCurrent)) {
        rollBack();
        return refuseAborted(request, 'the primary may have been replaced');
      }
      return outcome.answer;
    }

    /** Sends a statement again that a busy member did not run, while there is time. */
    async function runPatiently(request: StatementRequest): Promise<StepOutcome> {
      let outcome = await runOnce(request);
      while (isBusy(outcome) && clock.now() + BUSY_PAUSE_MILLISECONDS < request.deadlineAt) {
        await clock.pause(BUSY_PAUSE_MILLISECONDS);
        outcome = await runOnce(request);
      }
      return outcome;
    }

    async function commit(request: StatementRequest): Promise<UpstreamAnswer> {
      if (isEnded) return refuseAborted(request, 'the transaction has ended');
      const outcome = await runPatiently(request);
      if (outcome.type === 'notSent') return refuseFirst(request);
      if (outcome.type === 'lost') {
        discard();
        context.suspectPrimary('silent', member);
        if (!hasWritten) return refuseAborted(request, 'the member did not answer the commit');
        return refuse(context, request, 'unknownOutcome', 'the primary did not answer the commit');
      }
      const { answer } = outcome;
      end();
      giveBack(context, { member, connection, transaction: answer.transaction });
      if (!(await isCurrent)) return settleUnproved(request, answer);
      return hasWritten ? writes.acknowledge(request, member, answer) : answer;
    }

    /** Without a proof for what it read, a transaction that wrote is still settled by its commit. */
    function settleUnproved(request: StatementRequest, answer: UpstreamAnswer): UpstreamAnswer {
      if (answer.outcome === 'refused') return answer;
      if (!hasWritten) return refuseAborted(request, 'the primary may have been replaced');
      return refuse(context, request, 'unknownOutcome', 'the primary may have been replaced');
    }

    function rollBack(): void {
      if (isEnded) return;
      end();
      giveBack(context, { member, connection, transaction: 'open' });
    }

    function refuseFirst(request: StatementRequest): UpstreamAnswer {
      rollBack();
      const answer = refuseForNow(context, request, 'aborted', 'the member is leaving');
      return { ...answer, transaction: 'failed' };
    }

    function refuseAborted(request: StatementRequest, detail: string): UpstreamAnswer {
      return { ...refuse(context, request, 'aborted', detail), transaction: 'failed' };
    }

    return {
      run: (request) => inOrder(() => run(request)),
      commit: (request) => inOrder(() => commit(request)),
      rollBack: () => {
        void inOrder(async () => rollBack());
      },
    };
  }

  return { open };
}

function isBusy(outcome: StepOutcome): boolean {
  if (outcome.type !== 'answered' || outcome.answer.outcome !== 'refused') return false;
  return outcome.answer.reason === 'busy' && outcome.answer.transaction === 'open';
}
