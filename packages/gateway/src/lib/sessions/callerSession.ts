import { createSessionState, setSessionValue } from '@wisterialift/pooling';
import type {
  CallerStatement,
  FailureReason,
  PreparedStatement,
  UpstreamAnswer,
} from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { Route } from '../configuration/gatewayConfiguration';
import type { ActiveConfiguration } from '../configuration/activeConfiguration';
import type { CallerAccess, CallerIdentity } from '../configuration/callerAccess';
import type { StatementRunner, Transaction } from '../groups/statementRunner';
import type { SequencedTime } from '../groups/groupContext';
import type { GroupSession, StatementRequest } from '../groups/statementRequest';
import type { CallerAnswer, CallerEvents, CallerLink } from '../ports/callerPort';
import type { CancelTimer, Clock } from '../ports/clock';
import type { RequestPermit } from '../limits/operationLimiter';

/** Runs the statements of one caller in order. */
export interface CallerSession {
  events: CallerEvents;
  /** Ends the session once it has no open transaction and no pending statement. */
  drain: () => void;
  /** Rolls back the open transaction and marks it as failed. */
  abortTransaction: () => void;
  /** Ends the session if the active configuration no longer accepts its key for its team. */
  checkKey: () => void;
}

export interface CallerSessionOptions {
  link: CallerLink;
  clock: Clock;
  logger: Logger;
  configuration: ActiveConfiguration;
  /** Takes over a newer configuration if there is one; resolves at once if changes arrive promptly. */
  checkForNewerConfiguration: (identity: CallerIdentity) => Promise<void>;
  findRunner: (group: string) => StatementRunner | undefined;
  /** Counts an operation against the limit of a team, if there is one. */
  requestPermit: RequestPermit;
  onEnd: () => void;
  onAnswered: (sample: AnswerSample) => void;
}

/** Metrics sample of one answered statement. @public */
export interface AnswerSample {
  route: Route | undefined;
  type: CallerStatement['type'];
  outcome: 'completed' | FailureReason;
  milliseconds: number;
}

/** Where the statements of a caller run. */
interface RoutedGroup {
  route: Route;
  version: number;
  team: string | undefined;
  runner: StatementRunner;
}

/** An open transaction; it takes a connection on its first statement. */
interface OpenTransaction extends RoutedGroup {
  isReadOnly: boolean;
  beginStamp: SequencedTime;
  upstream?: Transaction;
  isFailed: boolean;
}

/** Shorter than the 2 s after which callers abandon a session that has not started. */
const START_TIMEOUT_MILLISECONDS = 1_500;
const START_POLL_INTERVAL_MILLISECONDS = 20;

const REVOKED_DETAIL = 'the key is no longer valid';

type Handler<Type extends CallerStatement['type']> = (
  statement: CallerStatement & { type: Type },
) => Promise<CallerAnswer> | CallerAnswer;

export function createCallerSession(options: CallerSessionOptions): CallerSession {
  const { link, clock, logger, configuration, findRunner, onEnd, onAnswered } = options;
  const { checkForNewerConfiguration, requestPermit } = options;
  const session: GroupSession = { stateVersion: 0, lastCommit: undefined };
  const preparedStatements = new Map<string, PreparedStatement>();
  let sessionState = createSessionState();
  let identity: CallerIdentity = { database: '', keyDigest: undefined };
  let team: string | undefined;
  let isAccepted = false;
  let isRevoked = false;
  let transaction: OpenTransaction | undefined;
  let pendingStatements = 0;
  let statementQueue = Promise.resolve();
  let isDraining = false;
  let isEnded = false;
  let cancelIdleTimer: CancelTimer | undefined;

  const findAccess = () => configuration.findAccess(identity);
  const hasAccess = () => findAccess()?.type === 'granted';

  const handlers: { [Type in CallerStatement['type']]: Handler<Type> } = {
    begin: (statement) => begin(statement),
    commit: (statement) => commit(statement),
    rollback: () => rollBack(),
    read: (statement) => runStatement(statement),
    write: (statement) => runStatement(statement),
    set: ({ name, value }) => {
      sessionState = setSessionValue(sessionState, name, value);
      session.stateVersion = sessionState.version;
      return createCompletedAnswer();
    },
    prepare: ({ name, access, shape }) => {
      preparedStatements.set(name, { access, shape });
      return createCompletedAnswer();
    },
    execute: (statement) => {
      const prepared = preparedStatements.get(statement.name);
      if (!prepared) return createRefusal('unknownStatement', `${statement.name} is not prepared`);
      return runStatement(statement, {
        statement: prepared,
        argumentsText: statement.argumentsText,
      });
    },
    deallocate: ({ name }) => {
      if (preparedStatements.delete(name)) return createCompletedAnswer();
      return createRefusal('unknownStatement', `${name} is not prepared`);
    },
    unknown: ({ text }) => createRefusal('malformed', `not a statement: ${text.slice(0, 40)}`),
  };

  function onStart(database: string, keyDigest?: string): void {
    identity = { database, keyDigest };
    const access = findAccess();
    if (!access) void startWhenConfigured(clock.now() + START_TIMEOUT_MILLISECONDS);
    else if (access.type === 'granted') acceptCaller(access);
    else void startIfAllowed();
  }

  function acceptCaller(access: CallerAccess & { type: 'granted' }): void {
    isAccepted = true;
    team = access.team?.name;
    link.accept();
  }

  async function startIfAllowed(): Promise<void> {
    await checkForNewerConfiguration(identity);
    if (isEnded) return;
    const access = findAccess()!;
    if (access.type === 'granted') acceptCaller(access);
    else refuseStart(access.reason, access.detail);
  }

  /** Waits for the first configuration after a process start instead of refusing the session. */
  async function startWhenConfigured(waitUntil: number): Promise<void> {
    while (!isEnded && !configuration.get() && clock.now() < waitUntil) {
      await clock.sleep(START_POLL_INTERVAL_MILLISECONDS);
    }
    if (isEnded) return;
    if (configuration.get()) onStart(identity.database, identity.keyDigest);
    else refuseStart('busy', 'no configuration is known yet, come back later');
  }

  function refuseStart(reason: FailureReason, detail: string): void {
    const { database } = identity;
    const version = configuration.get()?.version;
    logger.info('sessionRefused', { database, reason, detail, version });
    link.refuse(reason, detail);
    endSession();
  }

  function checkKey(): void {
    if (!isAccepted || isEnded || isRevoked) return;
    const access = findAccess();
    if (!access || !isKeyLost(access, team)) return;
    isRevoked = true;
    const { database } = identity;
    logger.info('sessionRevoked', { database, team, version: access.version });
    abortTransaction();
    endIfRevoked();
  }

  /** Lets a running statement finish: it was sent while the key was valid. */
  function endIfRevoked(): void {
    if (!isRevoked || isEnded || pendingStatements > 0) return;
    link.refuse('unauthenticated', REVOKED_DETAIL);
    endSession();
  }

  function onStatement(statement: CallerStatement): void {
    if (isEnded) return;
    pendingStatements += 1;
    cancelIdleTimer?.();
    const arrivedAt = clock.now();
    statementQueue = statementQueue.then(() => answerStatement(statement, arrivedAt));
  }

  async function answerStatement(statement: CallerStatement, arrivedAt: number): Promise<void> {
    const route = transaction?.route ?? configuration.findRoute(identity.database)?.route;
    const answer = await handleStatement(statement);
    pendingStatements -= 1;
    const outcome = answer.outcome === 'refused' ? answer.reason : 'completed';
    onAnswered({ route, type: statement.type, outcome, milliseconds: clock.now() - arrivedAt });
    if (isEnded) return;
    link.answer(answer);
    startIdleTimer();
    endIfRevoked();
    endIfDrained();
  }

  async function handleStatement(statement: CallerStatement): Promise<CallerAnswer> {
    if (transaction?.isFailed && statement.type !== 'rollback' && statement.type !== 'commit') {
      return createRefusal('malformed', 'the transaction has failed and must be ended');
    }
    try {
      if (!transaction && !hasAccess()) await checkForNewerConfiguration(identity);
      const handler = handlers[statement.type] as Handler<CallerStatement['type']>;
      return await handler(statement);
    } catch (error) {
      logger.error('statementFailed', { requestId: statement.id, error: error as Error });
      return createRefusal(
        'unknownOutcome',
        'the instance failed while it worked at the statement',
      );
    }
  }

  async function begin({
    id,
    isReadOnly,
  }: CallerStatement & { type: 'begin' }): Promise<CallerAnswer> {
    if (transaction) return createRefusal('malformed', 'a transaction is open already');
    const admitted = await admitOperation(id);
    if ('refusal' in admitted) return admitted.refusal;
    const beginStamp = admitted.runner.createArrivalStamp();
    transaction = { ...admitted, isReadOnly, beginStamp, isFailed: false };
    return createCompletedAnswer();
  }

  /** Counts a statement or transaction that begins, then determines where it runs. */
  async function admitOperation(
    requestId: string,
  ): Promise<RoutedGroup | { refusal: CallerAnswer }> {
    const found = findRoutedGroup();
    if ('refusal' in found || found.team === undefined) return found;
    const permit = await requestPermit(found.team);
    if (permit.type === 'refused') {
      const { detail } = permit;
      const { version } = found;
      logger.info('operationLimited', { requestId, team: found.team, version, detail });
      return { refusal: createRefusal('busy', detail) };
    }
    // The configuration may have changed during the wait.
    if (isRevoked) return { refusal: createRefusal('unauthenticated', REVOKED_DETAIL) };
    return findRoutedGroup();
  }

  function findRoutedGroup(): RoutedGroup | { refusal: CallerAnswer } {
    const access = findAccess();
    if (!access) return { refusal: createRefusal('busy', 'no configuration is known yet') };
    if (access.type === 'refused') {
      return { refusal: createRefusal(access.reason, access.detail) };
    }
    const { route, version } = access;
    const runner = findRunner(route.group);
    if (runner) return { route, version, team: access.team?.name, runner };
    return {
      refusal: createRefusal('busy', `no database of ${route.group} is known, come back later`),
    };
  }

  async function runStatement(
    statement: CallerStatement,
    prepared?: StatementRequest['prepared'],
  ): Promise<CallerAnswer> {
    if (transaction) return runInTransaction(transaction, statement, prepared);
    const receivedAt = clock.now();
    const admitted = await admitOperation(statement.id);
    if ('refusal' in admitted) return admitted.refusal;
    const { runner } = admitted;
    const request = createRequest(statement, admitted, { prepared, receivedAt });
    const isWrite = (prepared?.statement.access ?? statement.type) === 'write';
    const answer = await (isWrite ? runner.write(request) : runner.read(request));
    return toCallerAnswer(answer, 'idle');
  }

  function createRequest(
    { id, text }: CallerStatement,
    { route, version, team: owner, runner }: RoutedGroup,
    timing: { prepared?: StatementRequest['prepared']; receivedAt?: number } = {},
  ): StatementRequest {
    const { prepared, receivedAt = clock.now() } = timing;
    const deadlineAt = receivedAt + route.timeout;
    const arrivalStamp = runner.createArrivalStamp();
    return {
      id,
      text,
      prepared,
      session,
      sessionState,
      team: owner,
      keyDigest: identity.keyDigest,
      route,
      configurationVersion: version,
      arrivalStamp,
      deadlineAt,
    };
  }

  async function runInTransaction(
    open: OpenTransaction,
    statement: CallerStatement,
    prepared?: StatementRequest['prepared'],
  ): Promise<CallerAnswer> {
    const request = createRequest(statement, open, { prepared });
    const refusal = await openUpstreamTransaction(open, request);
    if (refusal) return failTransaction(open, refusal);
    const answer = await open.upstream!.run(request);
    if (answer.transaction !== 'open') return failTransaction(open, answer);
    return toCallerAnswer(answer, 'open');
  }

  /** @returns the refusal, or undefined if the transaction has a connection. */
  async function openUpstreamTransaction(
    open: OpenTransaction,
    request: StatementRequest,
  ): Promise<UpstreamAnswer | undefined> {
    if (open.upstream) return undefined;
    const { isReadOnly, beginStamp } = open;
    const opened = await open.runner.openTransaction(request, { isReadOnly, beginStamp });
    if ('refusal' in opened) return opened.refusal;
    Object.assign(open, { upstream: opened.transaction });
    if (isEnded) opened.transaction.rollBack();
    return undefined;
  }

  function failTransaction(open: OpenTransaction, answer: UpstreamAnswer): CallerAnswer {
    Object.assign(open, { isFailed: true });
    open.upstream?.rollBack();
    return toCallerAnswer(answer, 'failed');
  }

  async function commit(statement: CallerStatement): Promise<CallerAnswer> {
    const open = transaction;
    if (!open) return createRefusal('malformed', 'no transaction is open');
    if (open.isFailed) {
      transaction = undefined;
      return createRefusal('aborted', 'the transaction had failed and was rolled back');
    }
    const request = createRequest(statement, open);
    const refusal = await openUpstreamTransaction(open, request);
    const answer = refusal ?? (await open.upstream!.commit(request));
    transaction = undefined;
    return toCallerAnswer(answer, 'idle');
  }

  function rollBack(): CallerAnswer {
    transaction?.upstream?.rollBack();
    transaction = undefined;
    return createCompletedAnswer();
  }

  function toCallerAnswer(
    answer: UpstreamAnswer,
    state: CallerAnswer['transaction'],
  ): CallerAnswer {
    if (answer.outcome === 'refused') {
      const { reason, detail } = answer;
      return { outcome: 'refused', reason, detail, transaction: state };
    }
    const { rows, signature } = answer;
    return { outcome: 'completed', rows, signature, transaction: state };
  }

  const getTransactionState = (): CallerAnswer['transaction'] => {
    if (!transaction) return 'idle';
    return transaction.isFailed ? 'failed' : 'open';
  };

  function createCompletedAnswer(): CallerAnswer {
    return { outcome: 'completed', rows: [], transaction: getTransactionState() };
  }

  function createRefusal(reason: FailureReason, detail: string): CallerAnswer {
    return { outcome: 'refused', reason, detail, transaction: getTransactionState() };
  }

  /**
   * Aborts a transaction that stays idle, to free its connection and locks. The next statement of
   * the caller reports the failure.
   */
  function startIdleTimer(): void {
    const open = transaction;
    const idle = configuration.get()?.transactionIdle;
    if (!open?.upstream || open.isFailed || !idle) return;
    cancelIdleTimer = clock.runAfter(idle, () => {
      logger.info('transactionIdle', { database: identity.database, idleMilliseconds: idle });
      abortTransaction();
    });
  }

  function abortTransaction(): void {
    if (!transaction || transaction.isFailed) return;
    transaction.isFailed = true;
    transaction.upstream?.rollBack();
  }

  function endIfDrained(): void {
    if (!isDraining || isEnded || pendingStatements > 0 || transaction) return;
    link.close();
    endSession();
  }

  function endSession(): void {
    if (isEnded) return;
    isEnded = true;
    cancelIdleTimer?.();
    transaction?.upstream?.rollBack();
    onEnd();
  }

  return {
    events: { onStart, onStatement, onDisconnect: endSession },
    drain: () => {
      isDraining = true;
      endIfDrained();
    },
    abortTransaction,
    checkKey,
  };
}

/** Whether a key that identified a caller of `team` does not do so any more. */
function isKeyLost(access: CallerAccess, team: string | undefined): boolean {
  if (access.type === 'refused') return access.reason === 'unauthenticated';
  return access.team?.name !== team;
}
