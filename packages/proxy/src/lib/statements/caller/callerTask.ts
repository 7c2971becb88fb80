import {
  InvalidSessionVariableError,
  InvalidTokenError,
  classifyStatement,
  type StatementRequest,
} from '@wisterialift/core';
import type { CallerCommand, CallerConnection, CallerLogin, SqlError } from '@wisterialift/mysql';
import type { Configuration } from '@wisterialift/schema';
import { createAnswerWriter } from './answerWriter';
import { callerError } from './callerErrors';
import { createCallerPrepared, unsupportedError } from './callerPrepared';
import { createCallerRequests } from './callerRequests';
import { createCallerSession } from './callerSession';
import { createCallerTransaction } from './callerTransaction';
import type { GroupServices, RequestObservation, Retirement, StatementWork } from './callerTypes';
import { CutExecuteError } from './preparedStatements';

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

type StatementHandlers = {
  [Type in StatementRequest['type']]: (
    request: Extract<StatementRequest, { type: Type }>,
    work: StatementWork,
  ) => void;
};

type CommandHandlers = {
  [Type in CallerCommand['type']]: (command: Extract<CallerCommand, { type: Type }>) => void;
};

/** A retired connection that has been idle for this long is closed. */
const IDLE_BEFORE_CLOSE_MILLISECONDS = 100;

const IMPLICIT_COMMIT = callerError(
  'inTransaction',
  'The statement would commit the open transaction by itself; send COMMIT or ROLLBACK first',
);

const ONE_GROUP = callerError('inTransaction', 'A transaction belongs to one group');

/**
 * Starts the task of an authenticated caller connection.
 *
 * @internal
 */
export function createCallerTask(options: CallerTaskOptions): CallerTask {
  const { connection, login, configuration, clock, maximumPacketBytes } = options;
  const { caller } = login;
  let retirement: (Retirement & { until: number }) | undefined;
  let idleTimer: NodeJS.Timeout | undefined;

  const callerSession = createCallerSession({
    connectionId: connection.id,
    caller,
    group: login.group,
    configuration,
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
    configuration,
    findGroup: options.findGroup,
    clock,
    observe: options.observe,
    onTransactionLost,
  });
  const transaction = createCallerTransaction({ requests, answers, findGroup });
  const prepared = createCallerPrepared({
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
      run({ statement, upstream: () => ({ type: 'query', payload }), isBinary: false });
    },
    useGroup: ({ group }) => useGroup(group),
    ping: () => answers.ok(),
    prepare: ({ sql }) => prepared.prepare(sql),
    execute: ({ statementId, payload }) => {
      const work = prepared.toWork(statementId, payload);
      if (work) run(work);
    },
    sendLongData: ({ statementId, payload }) => prepared.addLongData(statementId, payload),
    closeStatement: ({ statementId }) => prepared.close(statementId),
    resetStatement: ({ statementId }) => {
      prepared.reset(statementId);
      answers.ok();
    },
    resetConnection: () => {
      transaction.abandon();
      callerSession.reset();
      prepared.clear();
      answers.ok();
    },
    quit: () => connection.end(),
    unsupported: ({ code }) => {
      answers.error(callerError('unknownCommand', `Command ${code} is not supported`));
    },
  };

  const statementHandlers: StatementHandlers = {
    read: (_request, work) => runStatement('read', work),
    lockingRead: (_request, work) => runStatement('write', work),
    write: (_request, work) => runStatement('write', work),
    definition: (_request, work) => {
      if (transaction.isPresent) {
        answers.error(IMPLICIT_COMMIT);
        return;
      }
      findGroup()?.descriptions.clear();
      runStatement('write', work);
    },
    begin: (_request, work) => transaction.begin(work),
    commit: (_request, work) => transaction.commit(work),
    rollback: (_request, work) => transaction.rollback(work),
    set: ({ assignments }) => {
      const refusal = callerSession.set(assignments);
      if (refusal) answers.error(refusal);
      else answers.ok();
    },
    use: ({ group }) => useGroup(group),
    selectVariables: ({ columns }, { isBinary }) => {
      const values = callerSession.select(columns);
      if (!Array.isArray(values)) answers.error(values);
      else answers.rows({ columns: columns.map(({ label }) => label), rows: [values], isBinary });
    },
    showVariables: ({ pattern }, { isBinary }) => {
      const rows = callerSession.list(pattern);
      answers.rows({ columns: ['Variable_name', 'Value'], rows, isBinary });
    },
    unsupported: ({ feature }) => answers.error(unsupportedError(feature)),
  };

  function onCommand(command: CallerCommand): void {
    clearTimeout(idleTimer);
    if (retirement && !transaction.isPresent && clock() >= retirement.until) {
      connection.end(retirement.reason);
      return;
    }
    const handle = commandHandlers[command.type] as (command: CallerCommand) => void;
    try {
      handle(command);
    } catch (error) {
      answers.error(toSqlError(error));
    }
  }

  function run(work: StatementWork): void {
    const { request } = work.statement;
    const handle = statementHandlers[request.type] as (
      request: StatementRequest,
      work: StatementWork,
    ) => void;
    handle(request, work);
  }

  /** Runs a statement by itself, or in the transaction that is open. */
  function runStatement(access: 'read' | 'write', work: StatementWork): void {
    if (transaction.isPresent) transaction.run(work);
    else requests.submit({ access, work, onFinished: requests.deliver });
  }

  function useGroup(name: string): void {
    const refusal = transaction.isPresent ? ONE_GROUP : callerSession.useGroup(name);
    if (refusal) answers.error(refusal);
    else answers.ok();
  }

  function onAnswered(): void {
    requests.forget();
    closeIfRetired();
  }

  /**
   * Guards against cutting a request that is on its way while the connection looks idle: the caller
   * would see a broken connection and could not tell whether its request had run. So an idle
   * connection stays for a moment, and what comes after that is answered with the reason.
   */
  function closeIfRetired(): void {
    if (!retirement || requests.isBusy || transaction.isPresent) return;
    const { reason, graceMilliseconds } = retirement;
    clearTimeout(idleTimer);
    if (graceMilliseconds === 0) connection.end(reason);
    else idleTimer = setTimeout(() => connection.end(reason), IDLE_BEFORE_CLOSE_MILLISECONDS);
  }

  function onClosed(): void {
    clearTimeout(idleTimer);
    requests.withdraw();
    transaction.abandon();
    options.onClosed();
  }

  connection.start({ onCommand, onDrain: requests.onDrain, onClosed });

  return {
    caller,
    get group() {
      return callerSession.group;
    },
    retire: (wanted) => {
      retirement ??= { ...wanted, until: clock() + wanted.graceMilliseconds };
      closeIfRetired();
    },
    destroy: () => connection.destroy(),
  };
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
