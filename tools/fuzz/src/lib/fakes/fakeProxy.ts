import {
  createGroupEngine,
  DEFAULT_ENGINE_POLICY,
  type EngineEffect,
  type EngineEvent,
  type EngineRecord,
  type EngineRequest,
  type StatementResult,
} from '@wisterialift/core';
import type { Database, RequestOutcome } from '@wisterialift/schema';
import type { Oracle } from '../oracle/oracle';
import { createMailbox } from '../simulation/mailbox';
import type { Network } from '../simulation/network';
import type { Random } from '../simulation/random';
import type { Scheduler } from '../simulation/scheduler';
import type { Step } from '../history/step';
import type { CallerReply, CallerStatement, ControlStatement, FakeDatabase } from './fakeDatabase';
import type { LogEntry, LogView } from './memberLog';

/** A caller's request as it arrives at a proxy; the proxy adds the times of its own clock. @public */
export interface ProxyRequest {
  request: Omit<EngineRequest, 'arrivedAt' | 'deadlineAt'>;
  deadlineMilliseconds: number;
  statement: CallerStatement;
  onAnswer: (answer: ProxyAnswer) => void;
}

/** @public */
export interface ProxyAnswer {
  outcome: RequestOutcome;
  view?: LogView;
}

/** @public */
export interface FakeProxy {
  name: string;
  isAlive: () => boolean;
  acceptsRequests: () => boolean;
  /** Delivers a request; call it through the network. */
  submit: (request: ProxyRequest) => void;
  /** The caller of the request has gone. */
  cancel: (requestId: string) => void;
  /** Runs a statement inside a transaction that was answered `done`. */
  addToTransaction: (
    transactionId: string,
    write: string,
    onAnswer: (isDone: boolean) => void,
  ) => void;
  finishTransaction: (transactionId: string) => void;
  notify: (event: EngineEvent) => void;
  /** Stops gracefully; `onStopped` runs once nothing is in flight. */
  drain: (onStopped: () => void) => void;
  crash: () => void;
  freeze: () => void;
  thaw: () => void;
  openRequests: () => string[];
}

/** @public */
export interface FakeProxyOptions {
  name: string;
  dataCentre: string;
  databases: Database[];
  scheduler: Scheduler;
  network: Network;
  random: Random;
  oracle: Oracle;
  findMember: (name: string) => FakeDatabase;
  publish: (from: string, term: number, primary: string) => void;
  /** Longest time for which a leaving database may get new writes. */
  leavingBoundMilliseconds: number;
  onStep: (step: Step, member: string) => void;
  trace: (text: string) => void;
}

interface Attempt {
  number: number;
  member: string;
  dispatchedAt: number;
  isAbandoned: boolean;
  hasCompleted: boolean;
  view?: LogView;
  entry?: LogEntry;
}

interface TransactionConnection {
  member: string;
  connection: string;
}

interface OpenRequest extends ProxyRequest {
  attempt?: Attempt;
}

const CONNECT_MILLISECONDS = 12;
/** Probability that an attempt finds an open connection in the pool. */
const POOLED = 0.7;
/** Longest time for which a leaving database may get new reads. */
const LEAVING_READ_BOUND_MILLISECONDS = 500;
/** Probability that the first bytes of a read's answer had been forwarded when it broke off. */
const ANSWER_STARTED = 0.3;

/**
 * Creates a proxy: the engine of the core, with the network and the databases of the history in
 * place of the tasks round it.
 *
 * @public
 */
export function createFakeProxy(options: FakeProxyOptions): FakeProxy {
  const { name, scheduler, network, random, oracle, findMember, onStep, trace } = options;
  const mailbox = createMailbox();
  /** Clocks of different machines have nothing to do with one another. */
  const clockOffset = random.between(0, 1_000_000);
  const engine = createGroupEngine({
    group: 'register',
    instance: name,
    dataCentre: options.dataCentre,
    databases: options.databases,
    policy: DEFAULT_ENGINE_POLICY,
    random: random.next,
  });
  const open = new Map<string, OpenRequest>();
  /** The connection of each open transaction; an attempt at BEGIN has one of its own. */
  const transactions = new Map<string, TransactionConnection>();
  const leavingSince = new Map<string, number>();
  const events: EngineEvent[] = [];
  let isDeciding = false;
  let isAlive = true;
  let isDraining = false;
  let onStopped: (() => void) | undefined;
  let timerNumber = 0;
  let thawedAt = 0;

  const localNow = () => scheduler.now() + clockOffset;

  const decide = (event: EngineEvent): EngineEffect[] => {
    try {
      return engine.handle(event, { monotonic: localNow(), wall: scheduler.now() });
    } catch (error) {
      oracle.report('engineFailed', `${name} ${event.type}: ${String(error)}`);
      return [];
    }
  };

  /** Hands events to the engine one after another; those that its effects cause come after them. */
  const dispatch = (event: EngineEvent) => {
    events.push(event);
    if (isDeciding) return;
    isDeciding = true;
    for (let next = events.shift(); next && isAlive; next = events.shift()) {
      decide(next).forEach(carryOut);
    }
    isDeciding = false;
    stopIfIdle();
  };

  const toMember = (member: string, action: (database: FakeDatabase) => void) => {
    const database = findMember(member);
    network.send(name, member, () => database.mailbox.run(() => action(database)));
  };

  const fromMember = (member: string, action: () => void) => {
    network.send(member, name, () =>
      mailbox.run(() => {
        if (isAlive) action();
      }),
    );
  };

  // Questions

  const ask = (questionId: number, member: string, statement: ControlStatement) => {
    toMember(member, (database) => {
      database.control(statement, (reply) => {
        fromMember(member, () => {
          if ('status' in reply) {
            dispatch({ type: 'statusAnswered', questionId, status: reply.status });
            return;
          }
          const reason = reply.refused === 'unreachable' ? 'unreachable' : 'refused';
          dispatch({ type: 'questionFailed', questionId, reason });
        });
      });
    });
  };

  // Statements

  const results: {
    [Kind in CallerReply['kind']]: (
      reply: Extract<CallerReply, { kind: Kind }>,
      request: OpenRequest,
    ) => StatementResult;
  } = {
    rows: () => ({ kind: 'completed' }),
    written: ({ entry: { term, index } }) => ({ kind: 'completed', position: { term, index } }),
    ok: () => ({ kind: 'completed' }),
    error: () => ({ kind: 'databaseError', code: 1062 }),
    notPrimary: () => ({ kind: 'refused', reason: 'notPrimary' }),
    connectionLimit: () => ({ kind: 'refused', reason: 'connectionLimit' }),
    unreachable: () => ({ kind: 'refused', reason: 'connectFailed' }),
    reset: (_reply, { request }) => ({
      kind: 'lost',
      answerStarted: request.access === 'read' && random.chance(ANSWER_STARTED),
    }),
  };

  const statementOf = (
    requestId: string,
    { statement }: OpenRequest,
    attempt: Attempt,
  ): CallerStatement => {
    if (statement.kind === 'begin') return { ...statement, ...connectionOf(requestId, attempt) };
    if (statement.kind !== 'commit') return statement;
    const connection = transactions.get(statement.connection)?.connection ?? 'closed';
    return { ...statement, connection };
  };

  const closeConnection = ({ member, connection }: TransactionConnection) => {
    toMember(member, (database) => database.execute({ kind: 'close', connection }, () => {}));
  };

  const closeTransaction = (transactionId: string) => {
    const transaction = transactions.get(transactionId);
    if (!transaction) return;
    transactions.delete(transactionId);
    closeConnection(transaction);
    dispatch({ type: 'transactionFinished', transactionId });
  };

  const onReply = (requestId: string, { number }: Attempt, reply: CallerReply) => {
    const request = open.get(requestId);
    const attempt = request?.attempt;
    if (!request || attempt?.number !== number || attempt.isAbandoned) return;
    const result = (
      results[reply.kind] as (reply: CallerReply, request: OpenRequest) => StatementResult
    )(reply, request);
    attempt.hasCompleted = result.kind === 'completed' || result.kind === 'databaseError';
    if (reply.kind === 'rows') attempt.view = reply.view;
    if (reply.kind === 'written') attempt.entry = reply.entry;
    if (attempt.hasCompleted && request.request.access !== 'read') {
      onStep('confirm', attempt.member);
    }
    dispatch({ type: 'statementFinished', requestId, attempt: attempt.number, result });
    if (request.request.access === 'commit') closeTransaction(request.request.transactionId!);
  };

  const send = (requestId: string, attempt: Attempt, statement: CallerStatement) => {
    onStep('send', attempt.member);
    toMember(attempt.member, (database) => {
      onStep('commit', attempt.member);
      database.execute(statement, (reply) => {
        fromMember(attempt.member, () => onReply(requestId, attempt, reply));
      });
    });
  };

  const connect = (requestId: string, attempt: Attempt, statement: CallerStatement) => {
    onStep('connect', attempt.member);
    const isPooled = statement.kind === 'commit' || random.chance(POOLED);
    if (isPooled) {
      send(requestId, attempt, statement);
      return;
    }
    scheduler.after(CONNECT_MILLISECONDS / 2, () => onStep('authenticate', attempt.member));
    scheduler.after(CONNECT_MILLISECONDS, () =>
      mailbox.run(() => {
        if (isAlive && !attempt.isAbandoned) send(requestId, attempt, statement);
      }),
    );
  };

  const answer = (requestId: string, outcome: RequestOutcome) => {
    const request = open.get(requestId);
    const attempt = request?.attempt;
    onStep('answer', attempt?.member ?? '');
    oracle.onAnswered({ requestId, outcome, attempt, latestAt: thawedAt });
    if (!request) return;
    open.delete(requestId);
    if (request.request.access === 'transaction' && outcome.status === 'done') {
      transactions.set(requestId, connectionOf(requestId, attempt!));
    }
    if (outcome.status !== 'done' || request.request.access !== 'read') {
      trace(`${name} answers ${requestId} ${describeOutcome(outcome)}`);
    }
    request.onAnswer({ outcome, ...(attempt?.view ? { view: attempt.view } : {}) });
  };

  /** The connection of a broken attempt was closed; the engine waits to hear what had arrived. */
  const reportLoss = (requestId: string, number: number) => {
    const access = open.get(requestId)?.request.access;
    const answerStarted = access === 'read' && random.chance(ANSWER_STARTED);
    const result: StatementResult = { kind: 'lost', answerStarted };
    dispatch({ type: 'statementFinished', requestId, attempt: number, result });
  };

  const abandon = (requestId: string, number: number) => {
    const request = open.get(requestId);
    if (request?.attempt?.number !== number) return;
    request.attempt.isAbandoned = true;
    const { access, transactionId } = request.request;
    if (access === 'transaction') closeConnection(connectionOf(requestId, request.attempt));
    if (access === 'commit') closeTransaction(transactionId!);
  };

  const recordSteps: Partial<Record<EngineRecord['name'], Step>> = {
    primarySuspected: 'fence',
    termFenced: 'choose',
    primaryPromoted: 'publish',
  };

  const checkLeaving = (member: string, request: OpenRequest) => {
    const since = leavingSince.get(member);
    const { access, requestId } = request.request;
    if (since === undefined || access === 'commit') return;
    const bound =
      access === 'read' ? LEAVING_READ_BOUND_MILLISECONDS : options.leavingBoundMilliseconds;
    const elapsed = Math.round(scheduler.now() - since);
    if (elapsed <= bound) return;
    oracle.report('workForLeavingDatabase', `${requestId} to ${member} after ${elapsed} ms`);
  };

  const noteLeaving = (event: EngineEvent) => {
    if (event.type !== 'groupChanged') return;
    event.databases.forEach(({ name: member, leaving }) => {
      if (!leaving) leavingSince.delete(member);
      else if (!leavingSince.has(member)) leavingSince.set(member, scheduler.now());
    });
  };

  const handlers: {
    [Type in EngineEffect['type']]: (effect: Extract<EngineEffect, { type: Type }>) => void;
  } = {
    runStatement: ({ requestId, attempt: number, member }) => {
      const request = open.get(requestId);
      if (!request) {
        oracle.report('answeredTwice', `${requestId} runs without being open`);
        return;
      }
      request.attempt = {
        number,
        member,
        dispatchedAt: scheduler.now(),
        isAbandoned: false,
        hasCompleted: false,
      };
      if (request.request.access !== 'read') trace(`${name} sends ${requestId} to ${member}`);
      checkLeaving(member, request);
      onStep('route', member);
      connect(requestId, request.attempt, statementOf(requestId, request, request.attempt));
    },
    abandonStatement: ({ requestId, attempt, reportsLoss }) => {
      abandon(requestId, attempt);
      if (reportsLoss) reportLoss(requestId, attempt);
    },
    answerRequest: ({ requestId, outcome }) => answer(requestId, outcome),
    askStatus: ({ questionId, member }) => ask(questionId, member, { kind: 'status' }),
    fence: ({ questionId, member, term }) => {
      trace(`${name} fences ${member} at ${term}`);
      ask(questionId, member, { kind: 'fence', term });
    },
    promote: ({ questionId, member, term }) => {
      trace(`${name} promotes ${member} at ${term}`);
      onStep('promote', member);
      ask(questionId, member, { kind: 'promote', term });
    },
    follow: ({ questionId, member, term, primary }) => {
      trace(`${name} attaches ${member} to ${primary} at ${term}`);
      ask(questionId, member, { kind: 'follow', term, primary });
    },
    nameVoters: ({ questionId, member, term, after, incarnations }) => {
      trace(`${name} names the voters ${JSON.stringify(incarnations)} at ${term}`);
      ask(questionId, member, { kind: 'nameVoters', term, after, voters: incarnations });
    },
    publishPrimary: ({ term, primary }) => options.publish(name, term, primary),
    setTimer: ({ at }) => {
      timerNumber += 1;
      const number = timerNumber;
      scheduler.at(at - clockOffset, () =>
        mailbox.run(() => {
          if (number === timerNumber) dispatch({ type: 'timerFired' });
        }),
      );
    },
    record: ({ record }) => {
      const step = recordSteps[record.name];
      if (step) onStep(step, 'member' in record ? record.member : '');
      if (record.name !== 'readRouted' && record.name !== 'writeConfirmed') {
        trace(`${name} ${JSON.stringify(record)}`);
      }
    },
  };

  function carryOut(effect: EngineEffect) {
    const handler = handlers[effect.type] as (effect: EngineEffect) => void;
    handler(effect);
  }

  function stopIfIdle() {
    if (!isDraining || !isAlive || open.size > 0 || transactions.size > 0) return;
    isAlive = false;
    onStopped?.();
  }

  const die = () => {
    isAlive = false;
    oracle.onProxyDied([...open.keys()]);
    transactions.forEach(closeConnection);
    open.clear();
    transactions.clear();
    mailbox.clear();
    mailbox.thaw();
  };

  return {
    name,
    isAlive: () => isAlive,
    acceptsRequests: () => isAlive && !isDraining,
    submit: (request) =>
      mailbox.run(() => {
        if (!isAlive) return;
        const { requestId } = request.request;
        open.set(requestId, { ...request });
        oracle.onArrived(requestId);
        const arrivedAt = localNow();
        const deadlineAt = arrivedAt + request.deadlineMilliseconds;
        dispatch({
          type: 'requestArrived',
          request: { ...request.request, arrivedAt, deadlineAt },
        });
      }),
    cancel: (requestId) =>
      mailbox.run(() => {
        if (!isAlive || !open.has(requestId)) return;
        oracle.onCancelled(requestId);
        dispatch({ type: 'requestCancelled', requestId });
        open.delete(requestId);
      }),
    addToTransaction: (transactionId, write, onAnswer) =>
      mailbox.run(() => {
        const transaction = transactions.get(transactionId);
        if (!isAlive || !transaction) {
          onAnswer(false);
          return;
        }
        const { member, connection } = transaction;
        toMember(member, (database) => {
          database.execute({ kind: 'add', connection, write }, (reply) => {
            fromMember(member, () => onAnswer(reply.kind === 'ok'));
          });
        });
      }),
    finishTransaction: (transactionId) =>
      mailbox.run(() => {
        if (isAlive) closeTransaction(transactionId);
        if (isAlive) stopIfIdle();
      }),
    notify: (event) =>
      mailbox.run(() => {
        noteLeaving(event);
        dispatch(event);
      }),
    drain: (whenStopped) =>
      mailbox.run(() => {
        if (!isAlive || isDraining) return;
        isDraining = true;
        onStopped = whenStopped;
        dispatch({ type: 'drainStarted' });
      }),
    crash: die,
    freeze: mailbox.freeze,
    thaw: () => {
      thawedAt = scheduler.now();
      mailbox.thaw();
    },
    openRequests: () => [...open.keys()],
  };
}

function connectionOf(requestId: string, { member, number }: Attempt): TransactionConnection {
  return { member, connection: `${requestId}#${number}` };
}

function describeOutcome(outcome: RequestOutcome): string {
  if (outcome.status === 'done') {
    const { position } = outcome;
    return position ? `done at ${position.term}:${position.index}` : 'done';
  }
  return 'reason' in outcome ? `${outcome.status} (${outcome.reason})` : outcome.status;
}
