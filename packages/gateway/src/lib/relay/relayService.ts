import type {
  RelayAcceptor,
  RelayRequest,
  RelayResponse,
  RelayStatement,
} from '@wisterialift/peer/relay';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import { CONFIGURATION_WAIT_MILLISECONDS } from '../configuration/activeConfiguration';
import type { ActiveConfiguration } from '../configuration/activeConfiguration';
import { decodeConfiguration, encodeConfiguration } from '../configuration/gatewayConfiguration';
import type { GatewayConfiguration } from '../configuration/gatewayConfiguration';
import { RelayMessageError } from '../errors/relayMessageError';
import type { GroupRouter } from '../groups/groupRouter';
import type { StatementRunner, Transaction } from '../groups/statementRunner';
import type { StatementRequest } from '../groups/statementRequest';
import type { PermitAllocator } from '../limits/permitAllocator';
import type { Clock } from '../ports/clock';
import { decodeAction, decodeRoute, decodeStatement, encodeAnswer } from './relayMessages';
import type { RelayAction } from './relayMessages';
import { createRefusalLoad } from './refusalLoad';
import type { RefusalLoad } from './refusalLoad';

/** Runs statements relayed by other instances over this instance's connections. */
export interface RelayService {
  accept: RelayAcceptor;
  /** Notifies the other instances that they must send new statements elsewhere. */
  announceDrain: () => void;
  /** Tells the other instances the active version, and whether it is known to be current. */
  announceConfiguration: () => void;
  /** Rolls back all open transactions, for a shutdown. */
  abortTransactions: () => void;
  /** Returns the number of running statements plus open transactions. */
  countActiveWork: () => number;
}

export interface RelayServiceOptions {
  configuration: ActiveConfiguration;
  /** Returns the runner of a group's statements over this instance's own connections. */
  findRunner: (group: string) => RelayTarget | undefined;
  /** Returns the data centre of a group's primary; undefined unless `primaryHolder` is enabled. */
  findPrimaryDataCentre?: (group: string) => string | undefined;
  /** Resolves once the directory and the configuration are fresh, or after a timeout. */
  waitForFreshState: () => Promise<void>;
  /** Whether this instance learns of new configuration versions promptly. */
  isConfigurationCurrent: () => boolean;
  /** Grants permits of this instance's share of a team's limit. */
  grantPermits: PermitAllocator['grant'];
  clock: Clock;
  logger: Logger;
}

/** Runs relayed statements of a group. */
export type RelayTarget = StatementRunner &
  Pick<GroupRouter, 'discover' | 'isOutOfReach' | 'probePrimary'> &
  Partial<Pick<GroupRouter, 'estimateRefusal'>>;

type ResponseContent =
  'answer' | 'configurationJson' | 'isOutOfReach' | 'load' | 'permits' | 'probedLogEnd';

type Respond = (response: RelayResponse) => void;

/** A transaction relayed from another instance. */
interface TransactionEntry {
  /** Undefined until it has begun at a member. */
  transaction: Transaction | undefined;
  isEnded: boolean;
}

/** Transactions of one stream by the number that its sender assigned. */
type StreamTransactions = Map<number, TransactionEntry>;

/** Runs one statement; `transactions` are those of its stream. */
type Handler = (options: {
  statement: RelayStatement;
  request: StatementRequest;
  runner: StatementRunner;
  transactions: StreamTransactions;
}) => Promise<UpstreamAnswer>;

export function createRelayService(options: RelayServiceOptions): RelayService {
  const { configuration, findRunner, waitForFreshState, grantPermits, clock, logger } = options;
  const { isConfigurationCurrent, findPrimaryDataCentre } = options;
  const streams = new Map<Respond, StreamTransactions>();
  let runningStatements = 0;
  let isDraining = false;
  let encoded: { version: number; json: string } | undefined;

  const handlers: Record<RelayAction, Handler> = {
    read: ({ request, runner }) => runner.read(request),
    write: ({ request, runner }) => runner.write(request),
    run: async (input) => {
      const found = await findOrBeginTransaction(input);
      if ('refusal' in found) return found.refusal;
      const answer = await found.transaction.run(input.request);
      if (answer.transaction !== 'open') rollBack(input.transactions, input.statement.transaction);
      return answer;
    },
    commit: async (input) => {
      const found = await findOrBeginTransaction(input);
      input.transactions.delete(input.statement.transaction);
      return 'refusal' in found ? found.refusal : found.transaction.commit(input.request);
    },
  };

  /** Encodes each version once, since all instances of the data centre ask for it. */
  function encodeOnce(current: GatewayConfiguration): string {
    if (encoded?.version !== current.version) {
      encoded = { version: current.version, json: encodeConfiguration(current) };
    }
    return encoded.json;
  }

  /** Must run before any wait, so that a rollback that arrives meanwhile finds the transaction. */
  function registerTransaction(
    { isFirst, transaction: number }: RelayStatement,
    transactions: StreamTransactions,
  ): void {
    if (isFirst) transactions.set(number, { transaction: undefined, isEnded: false });
  }

  /** Returns the transaction of a statement; begins it on the first statement. */
  async function findOrBeginTransaction({
    statement,
    request,
    runner,
    transactions,
  }: Parameters<Handler>[0]): Promise<{ transaction: Transaction } | { refusal: UpstreamAnswer }> {
    const { transaction: number, isReadOnly } = statement;
    const entry = transactions.get(number);
    if (!entry) return { refusal: createEndedRefusal() };
    if (entry.transaction) return { transaction: entry.transaction };
    const opened = await runner.openTransaction(request, {
      isReadOnly,
      beginStamp: request.arrivalStamp,
    });
    if ('refusal' in opened) {
      transactions.delete(number);
      return opened;
    }
    entry.transaction = opened.transaction;
    // The sender may have rolled back or disconnected in the meantime.
    if (entry.isEnded) opened.transaction.rollBack();
    return opened;
  }

  function rollBack(transactions: StreamTransactions, number: number): void {
    const entry = transactions.get(number);
    if (!entry) return;
    entry.isEnded = true;
    entry.transaction?.rollBack();
    transactions.delete(number);
  }

  function rollBackAll(transactions: StreamTransactions): void {
    for (const number of [...transactions.keys()]) rollBack(transactions, number);
  }

  /** @returns no answer if the sender has another configuration version or should ask elsewhere. */
  async function handleStatement(
    statement: RelayStatement,
    transactions: StreamTransactions,
  ): Promise<
    Pick<RelayResponse, 'answer' | 'isOutOfReach'> & Partial<Pick<RelayResponse, 'load'>>
  > {
    const action = decodeAction(statement);
    const { route, version } = decodeRoute(statement);
    // A transaction keeps the configuration version with which it began.
    const hasBegun = transactions.has(statement.transaction);
    registerTransaction(statement, transactions);
    await waitForFreshState();
    if (!hasBegun) await configuration.waitForVersion(version, CONFIGURATION_WAIT_MILLISECONDS);
    if (!hasBegun && configuration.getVersion() !== version) {
      transactions.delete(statement.transaction);
      return { answer: undefined, isOutOfReach: false };
    }
    const runner = findRunner(route.group);
    if (!runner) throw new RelayMessageError(`unknown group: ${route.group}`);
    const request = decodeStatement(statement, { arrivalStamp: runner.createArrivalStamp() });
    const { isFirst, isReadOnly } = statement;
    const needs = { request, beginsReadWriteTransaction: isFirst && !isReadOnly };
    if (!hasBegun && runner.isOutOfReach(needs)) await runner.discover(needs);
    if (!hasBegun && runner.isOutOfReach(needs)) {
      transactions.delete(statement.transaction);
      return { answer: undefined, isOutOfReach: true };
    }
    const answer = await handlers[action]({ statement, request, runner, transactions });
    const { lastCommit } = request.session;
    const refusalLoad = createRefusalLoad(runner, { action, request, answer });
    return {
      answer: encodeAnswer(answer, { lastCommit, now: clock.now() }),
      isOutOfReach: false,
      load: createLoad(route.group, refusalLoad),
    };
  }

  function createLoad(group: string, refusalLoad: RefusalLoad | undefined): RelayResponse['load'] {
    if (!findPrimaryDataCentre && !refusalLoad) return undefined;
    const primaryDataCentre = findPrimaryDataCentre?.(group) ?? '';
    return {
      primaryDataCentre,
      refusingMilliseconds: 0,
      isRefusingTeamOnly: false,
      ...refusalLoad,
    };
  }

  function createEndedRefusal(): UpstreamAnswer {
    const detail = 'the transaction has ended';
    return { outcome: 'refused', reason: 'aborted', detail, transaction: 'failed' };
  }

  /** A malformed message did not run; after any other failure the outcome is unknown. */
  function createFailureAnswer(
    { id, lastCommit }: RelayStatement,
    error: Error,
  ): RelayResponse['answer'] {
    logger.error('relayedStatementFailed', { requestId: id, error });
    const reason = error instanceof RelayMessageError ? 'busy' : 'unknownOutcome';
    const detail = 'the instance that should run the statement failed';
    const refusal = { outcome: 'refused', reason, detail, transaction: 'failed' } as const;
    // The sender adopts this commit position; without it, the session could miss its own writes.
    return { ...encodeAnswer(refusal, { lastCommit: undefined, now: clock.now() }), lastCommit };
  }

  async function handleRequest(
    { number, statement, permits, ...rest }: RelayRequest,
    { respond, transactions }: { respond: Respond; transactions: StreamTransactions },
  ): Promise<void> {
    const { rolledBackTransaction, wantsConfiguration, configurationJson, primaryProbe } = rest;
    if (rolledBackTransaction > 0) {
      rollBack(transactions, rolledBackTransaction);
    } else if (permits) {
      const granted = grantPermits(permits.team, permits.count);
      respond(createResponse(number, { permits: granted }));
    } else if (primaryProbe) {
      const { group, memberId } = primaryProbe;
      const probedLogEnd = await findRunner(group)?.probePrimary(memberId);
      respond(createResponse(number, { probedLogEnd }));
    } else if (statement) {
      runningStatements += 1;
      const outcome = await handleStatement(statement, transactions)
        .catch((error: Error) => {
          rollBack(transactions, statement.transaction);
          return { answer: createFailureAnswer(statement, error) };
        })
        .finally(() => {
          runningStatements -= 1;
        });
      respond(createResponse(number, outcome));
    } else {
      if (configurationJson !== '') configuration.adopt(decodeConfiguration(configurationJson));
      const current = wantsConfiguration ? configuration.get() : undefined;
      respond(
        createResponse(number, {
          configurationJson: current ? encodeOnce(current) : '',
        }),
      );
    }
  }

  function createResponse(
    number: number,
    content: Partial<Pick<RelayResponse, ResponseContent>> = {},
  ): RelayResponse {
    const version = Math.max(0, configuration.getVersion());
    return {
      number,
      isLeaving: isDraining,
      version,
      answer: undefined,
      configurationJson: '',
      isOutOfReach: false,
      permits: undefined,
      load: undefined,
      probedLogEnd: undefined,
      isConfigurationCurrent: isConfigurationCurrent(),
      ...content,
    };
  }

  const accept: RelayAcceptor = (respond) => {
    const transactions: StreamTransactions = new Map();
    streams.set(respond, transactions);
    respond(createResponse(0));
    return {
      onRequest: (request) => {
        handleRequest(request, { respond, transactions }).catch((error: Error) => {
          logger.error('relayRequestFailed', { number: request.number, error });
        });
      },
      onEnd: () => {
        streams.delete(respond);
        rollBackAll(transactions);
      },
    };
  };

  function announce(): void {
    for (const respond of streams.keys()) respond(createResponse(0));
  }

  return {
    accept,
    announceDrain: () => {
      isDraining = true;
      announce();
    },
    announceConfiguration: announce,
    abortTransactions: () => {
      for (const transactions of streams.values()) rollBackAll(transactions);
    },
    countActiveWork: () => {
      let open = 0;
      for (const transactions of streams.values()) open += transactions.size;
      return runningStatements + open;
    },
  };
}
