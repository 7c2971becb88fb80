import {
  InvalidSessionVariableError,
  InvalidTokenError,
  classifyStatement,
  createSession,
  parseStatementOptions,
  type Access,
  type Assignment,
  type EngineRequest,
  type Statement,
  type StatementRequest,
} from '@wisterialift/core';
import {
  EMPTY_OK,
  serverStatus,
  toFrames,
  withFlag,
  type CallerCommand,
  type CallerConnection,
  type CallerLogin,
  type CompletedAnswer,
  type FinalPacket,
  type OkPacket,
  type PreparedDescription,
  type SqlError,
  type TextResult,
  type UpstreamStatement,
} from '@wisterialift/mysql';
import {
  DEFAULT_KIND,
  type Configuration,
  type Outcome,
  type RequestKind,
} from '@wisterialift/schema';
import { callerError, outcomeError } from './callerErrors';
import { checkGroup, findCaller } from './loginCheck';
import { createMailbox } from './mailbox';
import type { CallerMessage, GroupPort } from './messages';
import type { PreparedDescriptions } from './preparedDescriptions';
import { CutExecuteError, createPreparedStatements, toUpstreamExecute } from './preparedStatements';
import { findKind } from './requestKinds';
import {
  checkAssignment,
  listVariables,
  readVariable,
  type VariableSources,
} from './sessionVariables';

/** How one request ended, for counts and latencies. @public */
export interface RequestObservation {
  group: string;
  kind: string;
  caller: string;
  access: Access;
  status: Outcome['status'];
  latencyMilliseconds: number;
}

/** What a caller task has of a group. @internal */
export interface GroupServices {
  port: GroupPort;
  descriptions: PreparedDescriptions;
}

/** @internal */
export interface CallerTaskOptions {
  connection: CallerConnection;
  login: CallerLogin;
  configuration: () => Configuration;
  findGroup: (group: string) => GroupServices | undefined;
  maximumPacketBytes: number;
  clock: () => number;
  observe: (observation: RequestObservation) => void;
  onClosed: () => void;
}

/** The task of one caller connection: it owns the socket, the session and the transaction. @internal */
export interface CallerTask {
  readonly caller: string;
  readonly group: string | undefined;
  /** Closes once no request is in flight and no transaction is open. */
  retire: (retirement: Retirement) => void;
  destroy: () => void;
}

/** How a connection comes to its end. @internal */
export interface Retirement {
  /** Told to the caller in place of an answer to what it asks too late. */
  reason: SqlError;
  /** Time during which requests that were on their way are still served, in milliseconds. */
  graceMilliseconds: number;
}

interface CurrentRequest {
  requestId: string;
  group: string;
  services: GroupServices;
  access: Access;
  kind: string;
  startedAt: number;
  /** Number of the answer's next packet. */
  nextSequence: number;
  isPaused: boolean;
  onFinished: (finished: FinishedRequest) => void;
}

interface FinishedRequest {
  outcome: Outcome;
  answer: CompletedAnswer | undefined;
}

interface Transaction {
  id: string;
  services: GroupServices;
  /** `discarded` once its connection is gone: nothing of it remains, and the caller has to end it. */
  status: 'open' | 'discarded';
}

/** A statement with what goes to a database for it. */
interface StatementWork {
  statement: Statement;
  upstream: () => UpstreamStatement;
  /** Whether rows of the proxy's own go out in the form of prepared statements. */
  isBinary: boolean;
}

type RequestOf<Type extends StatementRequest['type']> = Extract<StatementRequest, { type: Type }>;

type StatementHandlers = {
  [Type in StatementRequest['type']]: (request: RequestOf<Type>, work: StatementWork) => void;
};

type CommandHandlers = {
  [Type in CallerCommand['type']]: (command: Extract<CallerCommand, { type: Type }>) => void;
};

type FinalHandlers = {
  [Type in FinalPacket['type']]: (
    final: Extract<FinalPacket, { type: Type }>,
    answer: CompletedAnswer,
  ) => void;
};

const DISCARDED = { status: 'discarded', retryAfterMilliseconds: 0 } as const;

const ROLLED_BACK = callerError(
  'discarded',
  'Discarded: the transaction was rolled back, nothing of it remains; send ROLLBACK, then retry after 0 ms',
);

const IMPLICIT_COMMIT = callerError(
  'inTransaction',
  'The statement would commit the open transaction by itself; send COMMIT or ROLLBACK first',
);

/** Statements that the proxy answers, so that no database describes them. */
const ownStatements: ReadonlySet<StatementRequest['type']> = new Set([
  'begin',
  'commit',
  'rollback',
  'set',
  'use',
  'selectVariables',
  'showVariables',
]);

const FIRST_ANSWER = 1;

/** A retired connection that has been idle for this long is closed. */
const IDLE_BEFORE_CLOSE_MILLISECONDS = 100;

const KIND_VARIABLE = 'wisterialift_kind';
const STATEMENT_ID_AT = 1;
const PARAMETER_COUNT_AT = 7;

/** Prepared statements that the proxy answers by itself have no parameters. */
const EMPTY_DESCRIPTION: PreparedDescription = {
  header: Buffer.alloc(12),
  definitions: Buffer.alloc(0),
};

/**
 * Starts the task of an authenticated caller connection.
 *
 * @internal
 */
export function createCallerTask(options: CallerTaskOptions): CallerTask {
  const { connection, login, clock } = options;
  const { caller } = login;
  const port = createMailbox<CallerMessage>(onMessage);
  const session = createSession();
  const prepared = createPreparedStatements();
  let { group } = login;
  let current: CurrentRequest | undefined;
  let transaction: Transaction | undefined;
  let retirement: (Retirement & { until: number }) | undefined;
  let idleTimer: NodeJS.Timeout | undefined;
  let lastInsertId = 0;
  let requestCount = 0;

  // Commands

  const commandHandlers: CommandHandlers = {
    query: ({ sql, payload }) => {
      const statement = classifyStatement(sql);
      handleStatement({
        statement,
        upstream: () => ({ type: 'query', payload }),
        isBinary: false,
      });
    },
    useGroup: (command) => useGroup(command.group),
    ping: () => finishOk(),
    prepare: ({ sql }) => prepare(sql),
    execute: ({ statementId, payload }) => execute(statementId, payload),
    sendLongData: ({ statementId, payload }) => addLongData(statementId, payload),
    closeStatement: ({ statementId }) => prepared.close(statementId),
    resetStatement: ({ statementId }) => {
      const statement = prepared.get(statementId);
      if (statement) Object.assign(statement, { longData: [], longDataBytes: 0 });
      finishOk();
    },
    resetConnection: () => {
      endTransaction(false);
      session.reset();
      prepared.clear();
      lastInsertId = 0;
      finishOk();
    },
    quit: () => connection.end(),
    unsupported: ({ code }) => {
      finishError(callerError('unknownCommand', `Command ${code} is not supported`));
    },
  };

  function onCommand(command: CallerCommand): void {
    clearTimeout(idleTimer);
    if (retirement && !transaction && clock() >= retirement.until) {
      connection.end(retirement.reason);
      return;
    }
    const handle = commandHandlers[command.type] as (command: CallerCommand) => void;
    handle(command);
  }

  // Statements

  const statementHandlers: StatementHandlers = {
    read: (_request, work) => run('read', work),
    lockingRead: (_request, work) => run('write', work),
    write: (_request, work) => run('write', work),
    definition: (_request, work) => {
      if (transaction) {
        finishError(IMPLICIT_COMMIT);
        return;
      }
      if (group !== undefined) options.findGroup(group)?.descriptions.clear();
      run('write', work);
    },
    begin: (_request, work) => begin(work),
    commit: (_request, work) => commit(work),
    rollback: (_request, work) => rollback(work),
    set: ({ assignments }) => set(assignments),
    use: (request) => useGroup(request.group),
    selectVariables: ({ columns }, { isBinary }) => {
      const sources = variableSources();
      const values = columns.map(({ variable }) => readVariable(variable, sources));
      const unknown = columns[values.indexOf(undefined)];
      if (unknown) {
        const message = `Unknown system variable '${unknown.variable}'`;
        finishError(callerError('unknownVariable', message));
        return;
      }
      const row = values.map((value) => value ?? null);
      finishResult({ columns: columns.map(({ label }) => label), rows: [row] }, isBinary);
    },
    showVariables: ({ pattern }, { isBinary }) => {
      const rows = listVariables(pattern, variableSources());
      finishResult({ columns: ['Variable_name', 'Value'], rows }, isBinary);
    },
    unsupported: ({ feature }) => {
      const message = `Connections to databases are shared, so ${feature} is not supported`;
      finishError(callerError('unsupported', message));
    },
  };

  function handleStatement(work: StatementWork): void {
    const { request } = work.statement;
    const handle = statementHandlers[request.type] as (
      request: StatementRequest,
      work: StatementWork,
    ) => void;
    try {
      handle(request, work);
    } catch (error) {
      finishError(toSqlError(error));
    }
  }

  /** Runs a statement by itself, or in the transaction that is open. */
  function run(access: 'read' | 'write', work: StatementWork): void {
    if (!transaction) submit(access, work, deliver);
    else if (transaction.status === 'discarded') finishError(ROLLED_BACK);
    else runInTransaction(transaction, work, deliver);
  }

  function submit(
    access: Access,
    work: StatementWork,
    onFinished: CurrentRequest['onFinished'],
  ): void {
    const services = group === undefined ? undefined : options.findGroup(group);
    if (group === undefined || !services) {
      finishError(callerError('noGroupSelected', 'No group selected'));
      return;
    }
    const kindName = kindNameOf(work.statement);
    const request = createRequest(access, work.statement, group, kindOf(kindName), kindName);
    track(request, { group, services, onFinished });
    const statement = work.upstream();
    services.port.post({ type: 'requestSubmitted', request, statement, caller: port });
  }

  function createRequest(
    access: Access,
    { options: { token } }: Statement,
    groupName: string,
    kind: RequestKind,
    kindName: string,
  ): EngineRequest {
    const arrivedAt = clock();
    return {
      requestId: nextRequestId(),
      caller,
      weight: findCaller(options.configuration(), caller)?.weight ?? 1,
      kind: kindName,
      access,
      token: access === 'commit' ? undefined : session.floorOf(groupName, token),
      maximumStalenessMilliseconds: kind.maximumStalenessMilliseconds,
      arrivedAt,
      deadlineAt: arrivedAt + kind.deadlineMilliseconds,
      priority: kind.priority,
      isRepeatable: kind.isRepeatable,
      transactionId: access === 'commit' ? transaction?.id : undefined,
    };
  }

  function track(
    { requestId, access, kind, arrivedAt }: EngineRequest,
    rest: Pick<CurrentRequest, 'group' | 'services' | 'onFinished'>,
  ): void {
    current = {
      ...rest,
      requestId,
      access,
      kind,
      startedAt: arrivedAt,
      nextSequence: FIRST_ANSWER,
      isPaused: false,
    };
  }

  function nextRequestId(): string {
    requestCount += 1;
    return `${connection.id}-${requestCount}`;
  }

  function kindNameOf(statement: Statement): string {
    return statement.options.kind ?? session.kind ?? DEFAULT_KIND;
  }

  function kindOf(name: string): RequestKind {
    const kind = findKind(options.configuration(), name);
    if (!kind) throw new InvalidSessionVariableError(`no kind is named '${name}'`);
    return kind;
  }

  // Transactions

  function begin(work: StatementWork): void {
    if (transaction?.status === 'open') {
      finishError(IMPLICIT_COMMIT);
      return;
    }
    transaction = undefined;
    submit('transaction', work, (finished) => {
      const { requestId, services } = current as CurrentRequest;
      if (finished.outcome.status === 'done' && finished.answer?.final.type === 'ok') {
        transaction = { id: requestId, services, status: 'open' };
      }
      deliver(finished);
    });
  }

  function runInTransaction(
    { id, services }: Transaction,
    work: StatementWork,
    onFinished: CurrentRequest['onFinished'],
  ): void {
    const groupName = group ?? '';
    const kindName = kindNameOf(work.statement);
    const request = createRequest(
      'transaction',
      work.statement,
      groupName,
      kindOf(kindName),
      kindName,
    );
    track(request, { group: groupName, services, onFinished });
    const { requestId, deadlineAt } = request;
    const statement = {
      requestId,
      transactionId: id,
      statement: work.upstream(),
      deadlineAt,
      caller: port,
    };
    services.port.post({ type: 'transactionStatementSubmitted', statement });
  }

  function commit(work: StatementWork): void {
    if (!transaction) {
      finishOk();
      return;
    }
    if (transaction.status === 'discarded') {
      transaction = undefined;
      finishError(outcomeError(DISCARDED));
      return;
    }
    submit('commit', work, (finished) => {
      const isNotRun = finished.outcome.status === 'notRun';
      endTransaction(false);
      // The database rolls back what was not committed, so this is more than "not run".
      deliver(isNotRun ? { ...finished, outcome: toDiscarded(finished.outcome) } : finished);
    });
  }

  function rollback(work: StatementWork): void {
    if (transaction?.status !== 'open') {
      transaction = undefined;
      finishOk();
      return;
    }
    runInTransaction(transaction, work, ({ outcome, answer }) => {
      const isClean = outcome.status === 'done' && answer?.final.type === 'ok';
      endTransaction(isClean);
      // A connection that broke has rolled back as well.
      finishOk();
      if (!isClean) observeStatus('discarded');
    });
  }

  function endTransaction(isClean: boolean): void {
    if (!transaction) return;
    const { id, services } = transaction;
    transaction = undefined;
    services.port.post({ type: 'transactionEnded', transactionId: id, isClean });
  }

  // Session

  function set(assignments: Assignment[]): void {
    const refusal = assignments
      .filter((assignment) => !isSessionVariable(assignment))
      .map(checkAssignment)
      .find((error) => error !== undefined);
    if (refusal) {
      finishError(refusal);
      return;
    }
    assignments.forEach((assignment) => {
      if (assignment.name === KIND_VARIABLE && assignment.value !== '') kindOf(assignment.value);
      session.assign(assignment);
    });
    finishOk();
  }

  function useGroup(name: string): void {
    if (transaction) {
      finishError(callerError('inTransaction', 'A transaction belongs to one group'));
      return;
    }
    const refusal = checkGroup(options.configuration(), caller, name);
    if (refusal) {
      finishError(refusal);
      return;
    }
    group = name;
    finishOk();
  }

  function variableSources(): VariableSources {
    return {
      connectionId: connection.id,
      caller,
      group,
      session,
      lastInsertId,
      maximumPacketBytes: options.maximumPacketBytes,
    };
  }

  // Prepared statements

  function prepare(sql: string): void {
    const statement = { ...classifyStatement(sql), options: parseStatementOptions(sql) };
    if (statement.request.type === 'unsupported') {
      statementHandlers.unsupported(statement.request, notSent(statement));
      return;
    }
    if (ownStatements.has(statement.request.type)) {
      finishPrepare(sql, EMPTY_DESCRIPTION);
      return;
    }
    const known = group === undefined ? undefined : options.findGroup(group)?.descriptions.get(sql);
    if (known) finishPrepare(sql, known);
    else describe(sql, statement);
  }

  function describe(sql: string, statement: Statement): void {
    const upstream = (): UpstreamStatement => ({ type: 'prepare', sql });
    try {
      submit('read', { statement, upstream, isBinary: false }, (finished) => {
        const { services } = current as CurrentRequest;
        const final = finished.answer?.final;
        if (final?.type !== 'prepared') {
          deliver(finished);
          return;
        }
        services.descriptions.add(sql, final.description);
        finishPrepare(sql, final.description);
      });
    } catch (error) {
      finishError(toSqlError(error));
    }
  }

  function finishPrepare(sql: string, { header, definitions }: PreparedDescription): void {
    const { id } = prepared.add(sql, header.readUInt16LE(PARAMETER_COUNT_AT));
    const payload = Buffer.from(header);
    payload.writeUInt32LE(id, STATEMENT_ID_AT);
    finish([toFrames(payload, FIRST_ANSWER), definitions]);
  }

  function execute(statementId: number, payload: Buffer): void {
    const statement = prepared.get(statementId);
    if (!statement) {
      finishError(callerError('unknownStatement', `Unknown prepared statement ${statementId}`));
      return;
    }
    handleStatement({
      statement: statement.statement,
      upstream: () => toUpstreamExecute(statement, payload),
      isBinary: true,
    });
  }

  function addLongData(statementId: number, payload: Buffer): void {
    const statement = prepared.get(statementId);
    if (!statement) return;
    statement.longData.push(Buffer.from(payload));
    statement.longDataBytes += payload.length;
    // The command has no answer, so its pieces would pile up without an end.
    if (statement.longDataBytes > options.maximumPacketBytes) connection.destroy();
  }

  // Answers

  const messageHandlers: {
    [Type in CallerMessage['type']]: (message: Extract<CallerMessage, { type: Type }>) => void;
  } = {
    answerContinued: ({ requestId, frames, nextSequence }) => {
      if (current?.requestId !== requestId) return;
      current.nextSequence = nextSequence;
      connection.writeFrames(frames);
      if (connection.isFull) changeFlow(current, true);
    },
    requestAnswered: ({ requestId, outcome, answer }) => {
      if (current?.requestId !== requestId) return;
      current.onFinished({ outcome, answer });
    },
    transactionLost: ({ transactionId }) => {
      if (transaction?.id === transactionId) transaction.status = 'discarded';
    },
  };

  function onMessage(message: CallerMessage): void {
    const handle = messageHandlers[message.type] as (message: CallerMessage) => void;
    handle(message);
  }

  function changeFlow(request: CurrentRequest, isPaused: boolean): void {
    if (request.isPaused === isPaused) return;
    Object.assign(request, { isPaused });
    const { requestId } = request;
    request.services.port.post({ type: 'flowChanged', requestId, isPaused });
  }

  const finalHandlers: FinalHandlers = {
    ok: ({ ok }, { frames, sequence }) => {
      if (ok.insertId > 0) lastInsertId = ok.insertId;
      connection.writeFrames(frames);
      finishOk(ok, sequence, ok.gtid === undefined ? undefined : session.token());
    },
    eof: ({ payload }, { frames, sequence }) => {
      finish([...frames, toFrames(payload, sequence)]);
    },
    error: ({ error }, { frames, sequence }) => {
      connection.writeFrames(frames);
      finishError(error, sequence);
    },
    prepared: () => {
      finishError(callerError('unknownStatement', 'No statement was asked for'));
    },
  };

  /** Hands the answer of a database on, or the proxy's own error. */
  function deliver({ outcome, answer }: FinishedRequest): void {
    const { group: groupName, nextSequence } = current as CurrentRequest;
    observeStatus(outcome.status);
    if (outcome.status !== 'done') {
      if (transaction && outcome.status !== 'notRun') transaction.status = 'discarded';
      finishError(outcomeError(outcome), nextSequence);
      return;
    }
    if (outcome.position) session.addWrite(groupName, outcome.position);
    if (!answer) {
      finishError(callerError('unknown', 'Outcome unknown: the answer was lost'), nextSequence);
      return;
    }
    const handle = finalHandlers[answer.final.type] as (
      final: FinalPacket,
      answer: CompletedAnswer,
    ) => void;
    handle(answer.final, answer);
  }

  function observeStatus(status: Outcome['status']): void {
    if (!current) return;
    const { group: groupName, kind, access, startedAt } = current;
    const latencyMilliseconds = clock() - startedAt;
    options.observe({ group: groupName, kind, caller, access, status, latencyMilliseconds });
  }

  function finish(frames: Buffer[]): void {
    current = undefined;
    connection.finish(frames);
    closeIfRetired();
  }

  function finishOk(ok: OkPacket = ownOk(), sequence = FIRST_ANSWER, token?: string): void {
    current = undefined;
    connection.finishOk({ ok, token }, sequence);
    closeIfRetired();
  }

  function finishError(error: SqlError, sequence = FIRST_ANSWER): void {
    current = undefined;
    connection.finishError(error, sequence);
    closeIfRetired();
  }

  function finishResult(result: TextResult, isBinary: boolean): void {
    connection.finishResult({ ...result, isBinary }, ownOk().status);
    closeIfRetired();
  }

  function ownOk(): OkPacket {
    const isOpen = transaction?.status === 'open';
    return { ...EMPTY_OK, status: withFlag(EMPTY_OK.status, serverStatus.inTransaction, isOpen) };
  }

  /**
   * Guards against cutting a request that is on its way while the connection looks idle: the caller
   * would see a broken connection and could not tell whether its request had run. So an idle
   * connection stays for a moment, and what comes after that is answered with the reason.
   */
  function closeIfRetired(): void {
    if (!retirement || current || transaction) return;
    const { reason, graceMilliseconds } = retirement;
    clearTimeout(idleTimer);
    if (graceMilliseconds === 0) connection.end(reason);
    else idleTimer = setTimeout(() => connection.end(reason), IDLE_BEFORE_CLOSE_MILLISECONDS);
  }

  function onClosed(): void {
    clearTimeout(idleTimer);
    if (current) {
      const { services, requestId } = current;
      services.port.post({ type: 'requestWithdrawn', requestId });
      current = undefined;
    }
    endTransaction(false);
    options.onClosed();
  }

  connection.start({
    onCommand,
    onDrain: () => {
      if (current) changeFlow(current, false);
    },
    onClosed,
  });

  return {
    caller,
    get group() {
      return group;
    },
    retire: (wanted) => {
      retirement ??= { ...wanted, until: clock() + wanted.graceMilliseconds };
      closeIfRetired();
    },
    destroy: () => connection.destroy(),
  };
}

function isSessionVariable({ name }: Assignment): boolean {
  return name.startsWith('wisterialift_');
}

function notSent(statement: Statement): StatementWork {
  return {
    statement,
    upstream: () => {
      throw new Error('the statement is not sent to a database');
    },
    isBinary: false,
  };
}

function toDiscarded(outcome: Outcome): Outcome {
  const retryAfterMilliseconds = outcome.status === 'done' ? 0 : outcome.retryAfterMilliseconds;
  return { status: 'discarded', retryAfterMilliseconds };
}

/** Turns errors of the session and of prepared statements into the protocol's. */
function toSqlError(error: unknown): SqlError {
  if (error instanceof InvalidTokenError) {
    return callerError('wrongValue', `Wrong wisterialift_token: ${error.message}`);
  }
  if (error instanceof InvalidSessionVariableError) {
    return callerError('wrongValue', error.message);
  }
  if (error instanceof CutExecuteError) {
    return callerError('unknownStatement', `Malformed execute command: ${error.message}`);
  }
  throw error;
}
