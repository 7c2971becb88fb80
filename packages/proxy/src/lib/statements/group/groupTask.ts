import {
  createGroupEngine,
  type EngineEffect,
  type EngineEvent,
  type EnginePolicy,
  type EngineRecord,
  type GroupEngineView,
  type StatementResult,
} from '@wisterialift/core';
import type { CompletedAnswer, ControlQuestion } from '@wisterialift/mysql';
import type { UpstreamGroup } from '@wisterialift/schema';
import { createMailbox } from '../mailbox';
import type { GroupMessage, GroupMailbox, TransactionStatement } from '../groupMessages';
import {
  TRANSACTION_DISCARDED_OUTCOME,
  toStatementResult,
  toCancelledResult,
  toTransactionOutcome,
} from './statementResult';
import { createStatementRun, endAttempt, type StatementRun } from './statementRun';
import { createWakeUpTimer, startTimeLimit } from './timers';
import { createTransactionTable } from './transactionTable';
import { createUpstreamMembers, type UpstreamConnectionCount } from './upstreamMembers';
import type { Lease } from './upstreamPool';

/** @internal */
export interface GroupTaskOptions {
  group: string;
  upstreamGroup: UpstreamGroup;
  instance: { name: string; dataCentre: string };
  policy: EnginePolicy;
  clock: () => number;
  /** Reads the time of day, in milliseconds; it runs while the machine is suspended. */
  readWallClock: () => number;
  random: () => number;
  record: (record: EngineRecord) => void;
  onPrimaryPromoted: (promotion: { term: number; primary: string }) => void;
}

/** The task of one group; owns its engine, timer and upstream connections. @internal */
export interface GroupTask {
  mailbox: GroupMailbox;
  getView: () => GroupEngineView;
  getConnectionCounts: () => UpstreamConnectionCount[];
  /** Number of requests and transactions that have not ended. */
  countUnfinished: () => number;
  stop: () => void;
}

type MessageHandlers = {
  [Type in GroupMessage['type']]: (message: Extract<GroupMessage, { type: Type }>) => void;
};

type EffectHandlers = {
  [Type in EngineEffect['type']]: (effect: Extract<EngineEffect, { type: Type }>) => void;
};

const SWEEP_INTERVAL_MILLISECONDS = 1_000;

/**
 * Starts the task of a group.
 *
 * Results of the engine's effects are posted as messages, so that the engine is never re-entered while
 * it handles an event.
 *
 * @internal
 */
export function createGroupTask(options: GroupTaskOptions): GroupTask {
  const { group, clock, policy, instance } = options;
  const { post } = createMailbox<GroupMessage>(onMessage);
  const runs = new Map<string, StatementRun>();
  const timer = createWakeUpTimer(() => {
    post({ type: 'engineEvent', event: { type: 'timerFired' } });
  });
  let isStopped = false;

  const engine = createGroupEngine({
    group,
    instance: instance.name,
    dataCentre: instance.dataCentre,
    databases: options.upstreamGroup.databases,
    memberSet: options.upstreamGroup.memberSet,
    policy,
    random: options.random,
  });
  const members = createUpstreamMembers({
    group,
    clock,
    questionTimeoutMilliseconds: policy.questionTimeoutMilliseconds,
    onLeaseClosed: (lease) => post({ type: 'leaseClosed', lease }),
  });
  members.update(options.upstreamGroup);
  const transactions = createTransactionTable({
    clock,
    release: members.release,
    onResetAnswered: (lease) => post({ type: 'leaseReset', lease }),
    onFinished: (transactionId) => {
      post({ type: 'engineEvent', event: { type: 'transactionFinished', transactionId } });
    },
  });
  const sweepTimer = setInterval(sweep, SWEEP_INTERVAL_MILLISECONDS);

  const messageHandlers: MessageHandlers = {
    requestSubmitted: ({ request, statement, caller }) => {
      const { requestId, access, transactionId } = request;
      runs.set(
        requestId,
        createStatementRun({ requestId, statement, caller, access, transactionId }),
      );
      handleEvent({ type: 'requestArrived', request });
    },
    requestCancelled: ({ requestId }) => {
      const run = runs.get(requestId);
      if (!run) {
        // The answer is already in the caller's mailbox. If the request was a BEGIN, its id is that of
        // the transaction, which is rolled back.
        transactions.end(requestId, false);
        return;
      }
      runs.delete(requestId);
      handleEvent({ type: 'requestCancelled', requestId });
      // The run is no longer in `runs`, so `abandonStatement` does not find it; and the engine does not
      // track statements in a transaction.
      cancelAttempt(run);
    },
    transactionStatementSubmitted: ({ statement }) => runInTransaction(statement),
    transactionEnded: ({ transactionId, isClean }) => transactions.end(transactionId, isClean),
    flowChanged: ({ requestId, isPaused }) => {
      const connection = runs.get(requestId)?.lease?.connection;
      if (isPaused) connection?.pause();
      else connection?.resume();
    },
    leaseGranted: ({ run, attempt, lease }) => {
      if (run.attempt === attempt) runOn(lease, run);
      else members.release(lease);
    },
    leaseRefused: ({ run, attempt, failure }) => {
      if (run.attempt === attempt) finish(run, { kind: 'refused', reason: failure });
    },
    framesArrived: ({ run, attempt, frames, nextSequence }) => {
      if (run.attempt !== attempt) return;
      Object.assign(run, { hasAnswerStarted: true });
      const { requestId } = run;
      run.caller.post({ type: 'answerContinued', requestId, frames, nextSequence });
      // The engine does not track statements in a transaction.
      if (run.access === 'statement') run.timeLimit?.restart();
      else handleEvent({ type: 'answerContinued', requestId, attempt });
    },
    statementAnswered: ({ run, attempt, answer }) => {
      if (run.attempt === attempt) onAnswered(run, answer);
    },
    statementLost: ({ run, attempt }) => {
      if (run.attempt === attempt) onLost(run);
    },
    leaseClosed: ({ lease }) => transactions.onLeaseClosed(lease),
    leaseReset: ({ lease }) => transactions.onLeaseReset(lease),
    upstreamGroupChanged: ({ upstreamGroup }) => {
      members.update(upstreamGroup);
      const { databases, memberSet = 0 } = upstreamGroup;
      handleEvent({ type: 'groupChanged', databases, memberSet });
    },
    engineEvent: ({ event }) => handleEvent(event),
  };

  const effectHandlers: EffectHandlers = {
    runStatement: ({ requestId, attempt, member, incarnation }) => {
      const run = runs.get(requestId);
      if (!run) return;
      Object.assign(run, { attempt });
      if (run.access === 'commit') runCommit(run);
      else acquireLease(run, member, incarnation);
    },
    abandonStatement: ({ requestId, attempt, reportsLoss }) => {
      const run = runs.get(requestId);
      if (run?.attempt !== attempt) return;
      // A partly forwarded answer cannot be retried at another member, so it is left to complete; its
      // time limit still applies to each part.
      if (reportsLoss && run.hasAnswerStarted) return;
      const result = toCancelledResult(run);
      cancelAttempt(run);
      if (!reportsLoss) return;
      const event = { type: 'statementFinished', requestId, attempt, result } as const;
      post({ type: 'engineEvent', event });
    },
    answerRequest: ({ requestId, outcome }) => {
      const run = runs.get(requestId);
      if (!run) return;
      runs.delete(requestId);
      const answer = outcome.status === 'done' ? run.answer : undefined;
      run.caller.post({ type: 'requestAnswered', requestId, outcome, answer });
    },
    askStatus: ({ questionId, member }) => askMember(questionId, member, { type: 'askStatus' }),
    fence: ({ questionId, member, term }) => askMember(questionId, member, { type: 'fence', term }),
    promote: ({ questionId, member, term }) =>
      askMember(questionId, member, { type: 'promote', term }),
    follow: ({ questionId, member, term, primary }) => {
      const { host, port } = members.get(primary)?.database ?? {};
      const primaryAddress = `${host}:${port}`;
      askMember(questionId, member, { type: 'follow', term, primary, primaryAddress });
    },
    nameVoters: ({ questionId, member, term, after, incarnations }) =>
      askMember(questionId, member, { type: 'nameVoters', term, after, incarnations }),
    publishPrimary: ({ term, primary }) => options.onPrimaryPromoted({ term, primary }),
    setTimer: ({ at }) => timer.set(at - clock()),
    record: ({ record }) => options.record(record),
  };

  function onMessage(message: GroupMessage): void {
    if (isStopped) return;
    const handle = messageHandlers[message.type] as (message: GroupMessage) => void;
    handle(message);
  }

  function handleEvent(event: EngineEvent): void {
    const readings = { monotonic: clock(), wall: options.readWallClock() };
    engine.handle(event, readings).forEach(executeEffect);
  }

  function executeEffect(effect: EngineEffect): void {
    const handle = effectHandlers[effect.type] as (effect: EngineEffect) => void;
    handle(effect);
  }

  function askMember(questionId: number, memberName: string, question: ControlQuestion): void {
    const member = members.get(memberName);
    if (!member) {
      const event = { type: 'questionFailed', questionId, reason: 'unreachable' } as const;
      post({ type: 'engineEvent', event });
      return;
    }
    member.control.ask(question, (answer) => {
      const event: EngineEvent =
        answer.type === 'answered'
          ? { type: 'statusAnswered', questionId, status: answer.status }
          : { type: 'questionFailed', questionId, reason: answer.reason };
      post({ type: 'engineEvent', event });
    });
  }

  // Attempts

  function acquireLease(run: StatementRun, memberName: string, incarnation: string): void {
    const { attempt } = run;
    const member = members.get(memberName);
    if (!member) {
      post({ type: 'leaseRefused', run, attempt, failure: 'connectFailed' });
      return;
    }
    member.pool.acquire({
      incarnation,
      onGranted: (lease) => post({ type: 'leaseGranted', run, attempt, lease }),
      onRefused: (failure) => post({ type: 'leaseRefused', run, attempt, failure }),
    });
  }

  function runOn(lease: Lease, run: StatementRun): void {
    const { attempt } = run;
    Object.assign(run, { lease });
    // The connection may have closed since the lease was granted; nothing was sent then.
    if (!lease.connection.isOpen) {
      post({ type: 'leaseRefused', run, attempt, failure: 'connectFailed' });
      return;
    }
    lease.connection.run(run.statement, {
      onFrames: (frames, nextSequence) =>
        post({ type: 'framesArrived', run, attempt, frames, nextSequence }),
      onAnswered: (answer) => post({ type: 'statementAnswered', run, attempt, answer }),
      onLost: () => post({ type: 'statementLost', run, attempt }),
    });
  }

  function onAnswered(run: StatementRun, answer: CompletedAnswer): void {
    const result = toStatementResult(run, answer);
    Object.assign(run, { answer });
    finish(run, result);
  }

  function onLost(run: StatementRun): void {
    finish(run, { kind: 'lost', answerStarted: run.hasAnswerStarted });
  }

  /**
   * Ends an attempt: releases its connection unless a transaction holds it, then reports to the engine
   * or the caller.
   */
  function finish(run: StatementRun, result: StatementResult): void {
    const { lease, attempt, requestId } = run;
    run.timeLimit?.cancel();
    lease?.connection.resume();
    endAttempt(run);
    if (run.access === 'statement') {
      onTransactionStatementFinished(run, result);
      return;
    }
    if (run.access === 'commit') transactions.end(run.transactionId, result.kind !== 'lost');
    else if (lease && run.access === 'transaction' && result.kind === 'completed') {
      transactions.add(requestId, lease, run.caller);
    } else if (lease) members.release(lease);
    handleEvent({ type: 'statementFinished', requestId, attempt, result });
  }

  /** Cancels an attempt. Closes its connection, since a late answer could reach the next statement. */
  function cancelAttempt(run: StatementRun): void {
    if (run.attempt === 0) return;
    run.timeLimit?.cancel();
    run.lease?.connection.destroy();
    endAttempt(run);
    if (run.access === 'commit' || run.access === 'statement') {
      transactions.end(run.transactionId, false);
    }
  }

  // Transactions

  function runCommit(run: StatementRun): void {
    const transaction = transactions.get(run.transactionId);
    if (transaction) runOn(transaction.lease, run);
    else post({ type: 'leaseRefused', run, attempt: run.attempt, failure: 'connectFailed' });
  }

  function runInTransaction(submitted: TransactionStatement): void {
    const { requestId, transactionId, statement, mayCommit, caller, deadlineAt } = submitted;
    const transaction = transactions.get(transactionId);
    if (!transaction) {
      answerDiscarded(caller, requestId);
      return;
    }
    const run = createStatementRun({
      requestId,
      statement,
      caller,
      access: 'statement',
      transactionId,
      mayCommit,
    });
    run.attempt = 1;
    run.timeLimit = startTimeLimit(deadlineAt - clock(), () => {
      if (runs.get(requestId) !== run) return;
      runs.delete(requestId);
      cancelAttempt(run);
      const outcome = toTransactionOutcome(run, { kind: 'lost', answerStarted: false });
      caller.post({ type: 'requestAnswered', requestId, outcome });
    });
    runs.set(requestId, run);
    transactions.setRunning(transactionId, true);
    runOn(transaction.lease, run);
  }

  function onTransactionStatementFinished(run: StatementRun, result: StatementResult): void {
    const { requestId, caller, transactionId } = run;
    const outcome = toTransactionOutcome(run, result);
    const answer = outcome.status === 'done' ? run.answer : undefined;
    runs.delete(requestId);
    transactions.setRunning(transactionId, false);
    if (outcome.status !== 'done') transactions.end(transactionId, false);
    caller.post({ type: 'requestAnswered', requestId, outcome, answer });
  }

  function answerDiscarded(caller: StatementRun['caller'], requestId: string): void {
    caller.post({ type: 'requestAnswered', requestId, outcome: TRANSACTION_DISCARDED_OUTCOME });
  }

  function sweep(): void {
    const { members: views } = engine.view(clock());
    const shares = new Map(views.map(({ name, connectionShare }) => [name, connectionShare]));
    transactions.endIdle();
    members.sweep((name) => shares.get(name) ?? 0);
  }

  post({ type: 'engineEvent', event: { type: 'timerFired' } });

  return {
    mailbox: { post },
    getView: () => engine.view(clock()),
    getConnectionCounts: members.getConnectionCounts,
    countUnfinished: () => runs.size + transactions.getSize(),
    stop: () => {
      isStopped = true;
      timer.stop();
      clearInterval(sweepTimer);
      runs.forEach(({ timeLimit }) => timeLimit?.cancel());
      members.destroy();
    },
  };
}
