import {
  InvalidSessionVariableError,
  InvalidTokenError,
  classifyStatement,
  type StatementClassification,
} from '@wisterialift/core';
import type { CallerCommand, CallerConnection, CallerLogin, SqlError } from '@wisterialift/mysql';
import type { Configuration } from '@wisterialift/schema';
import { createAnswerWriter } from './answerWriter';
import { createCallerError } from './callerErrors';
import { createCallerPreparedStatements, unsupportedError } from './callerPreparedStatements';
import { createCallerRequests } from './callerRequests';
import { createCallerSession } from './callerSession';
import { createCallerTransaction } from './callerTransaction';
import type {
  GroupServices,
  RequestObservation,
  GracefulCloseOptions,
  ReceivedStatement,
} from './callerTypes';
import { TruncatedExecuteError } from './preparedStatements';

/** @internal */
export interface CallerTaskOptions {
  connection: CallerConnection;
  login: CallerLogin;
  getConfiguration: () => Configuration;
  findGroup: (group: string) => GroupServices | undefined;
  maximumPacketBytes: number;
  clock: () => number;
  observe: (observation: RequestObservation) => void;
  onClosed: () => void;
}

/** The task of one caller connection; owns its socket, session and transaction. @internal */
export interface CallerTask {
  readonly caller: string;
  readonly group: string | undefined;
  /**
   * Closes the connection when it is idle, with no transaction active: at once if the grace period is
   * 0, otherwise after `IDLE_CLOSE_DELAY_MILLISECONDS`.
   */
  closeGracefully: (gracefulClose: GracefulCloseOptions) => void;
  destroy: () => void;
}

type StatementHandlers = {
  [Type in StatementClassification['type']]: (
    request: Extract<StatementClassification, { type: Type }>,
    received: ReceivedStatement,
  ) => void;
};

type CommandHandlers = {
  [Type in CallerCommand['type']]: (command: Extract<CallerCommand, { type: Type }>) => void;
};

/** How long a connection must be idle before a graceful close ends it, unless the grace period is 0. */
const IDLE_CLOSE_DELAY_MILLISECONDS = 100;

const IMPLICIT_COMMIT_ERROR = createCallerError(
  'inTransaction',
  'The statement would commit the open transaction by itself; send COMMIT or ROLLBACK first',
);

const GROUP_CHANGE_ERROR = createCallerError('inTransaction', 'A transaction belongs to one group');

/**
 * Starts the task of an authenticated caller connection.
 *
 * @internal
 */
export function createCallerTask(options: CallerTaskOptions): CallerTask {
  const { connection, login, getConfiguration, clock, maximumPacketBytes } = options;
  const { caller } = login;
  let pendingClose: (GracefulCloseOptions & { graceEndsAt: number }) | undefined;
  let idleTimer: NodeJS.Timeout | undefined;

  const callerSession = createCallerSession({
    connectionId: connection.id,
    caller,
    group: login.group,
    getConfiguration,
    maximumPacketBytes,
  });
  const answers = createAnswerWriter({
    connection,
    isInTransaction,
    onAnswered,
  });
  const requests = createCallerRequests({
    caller,
    connection,
    answers,
    callerSession,
    getConfiguration,
    findGroup: options.findGroup,
    clock,
    observe: options.observe,
    onTransactionLost,
  });
  const transaction = createCallerTransaction({ requests, answers, findGroup });
  const prepared = createCallerPreparedStatements({
    connection,
    requests,
    answers,
    findGroup,
    maximumPacketBytes,
  });

  function isInTransaction(): boolean {
    return transaction.isOpen;
  }

  function onTransactionLost(transactionId: string): void {
    transaction.onLost(transactionId);
  }

  function findGroup(): GroupServices | undefined {
    const { group } = callerSession;
    return group === undefined ? undefined : options.findGroup(group);
  }

  const commandHandlers: CommandHandlers = {
    query: ({ sql, payload }) => {
      const statement = classifyStatement(sql);
      run({ statement, toUpstream: () => ({ type: 'query', payload }), isBinary: false });
    },
    useGroup: ({ group }) => useGroup(group),
    ping: () => answers.sendOk(),
    prepare: ({ sql, sqlBytes }) => {
      prepared.prepare({ sqlBytes, statement: classifyStatement(sql) });
    },
    execute: ({ statementId, payload }) => {
      const received = prepared.findStatement(statementId, payload);
      if (received) run(received);
    },
    sendLongData: ({ statementId, payload }) => prepared.addLongData(statementId, payload),
    closeStatement: ({ statementId }) => prepared.close(statementId),
    resetStatement: ({ statementId }) => {
      prepared.clearLongData(statementId);
      answers.sendOk();
    },
    resetConnection: () => {
      transaction.discard();
      callerSession.reset();
      prepared.clear();
      answers.sendOk();
    },
    quit: () => connection.end(),
    unsupported: ({ code }) => {
      answers.sendError(createCallerError('unknownCommand', `Command ${code} is not supported`));
    },
  };

  const statementHandlers: StatementHandlers = {
    read: (_request, received) => runStatement('read', received),
    lockingRead: (_request, received) => runStatement('write', received),
    write: (_request, received) => runStatement('write', received),
    definition: (_request, received) => {
      if (transaction.isActive) {
        answers.sendError(IMPLICIT_COMMIT_ERROR);
        return;
      }
      findGroup()?.descriptions.clear();
      runStatement('write', received);
    },
    begin: (_request, received) => transaction.begin(received),
    commit: (_request, received) => transaction.commit(received),
    rollback: (_request, received) => transaction.rollback(received),
    set: ({ assignments }) => {
      const refusal = callerSession.setVariables(assignments);
      if (refusal) answers.sendError(refusal);
      else answers.sendOk();
    },
    use: ({ group }) => useGroup(group),
    selectVariables: ({ columns }, { isBinary }) => {
      const row = callerSession.selectVariables(columns);
      if (!Array.isArray(row)) answers.sendError(row);
      else answers.sendRows({ columns: columns.map(({ label }) => label), rows: [row], isBinary });
    },
    showVariables: ({ pattern }, { isBinary }) => {
      const rows = callerSession.listVariables(pattern);
      answers.sendRows({ columns: ['Variable_name', 'Value'], rows, isBinary });
    },
    unsupported: ({ feature }) => answers.sendError(unsupportedError(feature)),
  };

  function onCommand(command: CallerCommand): void {
    clearTimeout(idleTimer);
    if (pendingClose && !transaction.isActive && clock() >= pendingClose.graceEndsAt) {
      connection.end(pendingClose.reason);
      return;
    }
    const handle = commandHandlers[command.type] as (command: CallerCommand) => void;
    try {
      handle(command);
    } catch (error) {
      answers.sendError(toSqlError(error));
    }
  }

  function run(received: ReceivedStatement): void {
    const { request } = received.statement;
    const handle = statementHandlers[request.type] as (
      request: StatementClassification,
      received: ReceivedStatement,
    ) => void;
    handle(request, received);
  }

  /** Runs a statement in the current transaction, if any. */
  function runStatement(access: 'read' | 'write', received: ReceivedStatement): void {
    if (transaction.isActive) transaction.run(received);
    else requests.submit({ access, received, onFinished: requests.sendAnswer });
  }

  function useGroup(name: string): void {
    const refusal = transaction.isActive ? GROUP_CHANGE_ERROR : callerSession.useGroup(name);
    if (refusal) answers.sendError(refusal);
    else answers.sendOk();
  }

  function onAnswered(): void {
    requests.clearCurrent();
    closeIfIdle();
  }

  /**
   * With a grace period, delays the close because a request may still be in transit: if the connection
   * broke then, the caller could not tell whether the request had run.
   */
  function closeIfIdle(): void {
    if (!pendingClose || requests.isBusy || transaction.isActive) return;
    const { reason, graceMilliseconds } = pendingClose;
    clearTimeout(idleTimer);
    if (graceMilliseconds === 0) connection.end(reason);
    else idleTimer = setTimeout(() => connection.end(reason), IDLE_CLOSE_DELAY_MILLISECONDS);
  }

  function onClosed(): void {
    clearTimeout(idleTimer);
    requests.cancel();
    transaction.discard();
    options.onClosed();
  }

  connection.start({ onCommand, onDrain: requests.onDrain, onClosed });

  return {
    caller,
    get group() {
      return callerSession.group;
    },
    closeGracefully: (gracefulClose) => {
      pendingClose ??= { ...gracefulClose, graceEndsAt: clock() + gracefulClose.graceMilliseconds };
      closeIfIdle();
    },
    destroy: () => connection.destroy(),
  };
}

/** Converts errors of sessions and prepared statements to protocol errors. Rethrows any other error. */
function toSqlError(error: unknown): SqlError {
  if (error instanceof InvalidTokenError) {
    return createCallerError('wrongValue', `Wrong wisterialift_token: ${error.message}`);
  }
  if (error instanceof InvalidSessionVariableError) {
    return createCallerError('wrongValue', error.message);
  }
  if (error instanceof TruncatedExecuteError) {
    return createCallerError('unknownStatement', `Malformed execute command: ${error.message}`);
  }
  throw error;
}
