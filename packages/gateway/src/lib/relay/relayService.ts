import type {
  RelayAcceptor,
  RelayRequest,
  RelayResponse,
  RelayStatement,
} from '@wisterialift/peer/relay';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import { CATCH_UP_MILLISECONDS } from '../configuration/configurationBook';
import type { ConfigurationBook } from '../configuration/configurationBook';
import { decodeConfiguration, encodeConfiguration } from '../configuration/gatewayConfiguration';
import { RelayMessageError } from '../errors/relayMessageError';
import type { GroupAccess, Transaction } from '../groups/groupAccess';
import type { StatementRequest } from '../groups/statementRequest';
import type { Clock } from '../ports/clock';
import { decodeAction, decodeRoute, decodeStatement, encodeAnswer } from './relayMessages';
import type { RelayAction } from './relayMessages';

/** Runs statements of other instances' callers over this instance's connections. */
export interface RelayService {
  accept: RelayAcceptor;
  /** Asks the other instances to place new statements elsewhere. */
  leave: () => void;
  /** Rolls back the transactions that are still open, for a process that has to stop. */
  abandonTransactions: () => void;
  /** Statements in work and transactions that are open. */
  load: () => number;
}

export interface RelayServiceOptions {
  book: ConfigurationBook;
  /** The connections of this instance to a group. */
  findGroup: (group: string) => GroupAccess | undefined;
  /** Resolves once the members are known as they are now, as far as the store tells. */
  freshenDirectory: () => Promise<void>;
  clock: Clock;
  logger: Logger;
}

type Respond = (response: RelayResponse) => void;

/** A transaction that another instance began here. */
interface RelayedTransaction {
  /** Undefined until a member has begun it. */
  transaction: Transaction | undefined;
  isEnded: boolean;
}

/** The transactions of one stream by the numbers that its sender gave. */
type StreamTransactions = Map<number, RelayedTransaction>;

/** Runs one statement; `transactions` are those of the stream that it came over. */
type Handler = (options: {
  statement: RelayStatement;
  request: StatementRequest;
  task: GroupAccess;
  transactions: StreamTransactions;
}) => Promise<UpstreamAnswer>;

export function createRelayService(options: RelayServiceOptions): RelayService {
  const { book, findGroup, freshenDirectory, clock, logger } = options;
  const streams = new Map<Respond, StreamTransactions>();
  let running = 0;
  let isLeaving = false;

  const handlers: Record<RelayAction, Handler> = {
    read: ({ request, task }) => task.read(request),
    write: ({ request, task }) => task.write(request),
    run: async (step) => {
      const found = await findTransaction(step);
      if ('refusal' in found) return found.refusal;
      const answer = await found.transaction.run(step.request);
      if (answer.transaction !== 'open') end(step.transactions, step.statement.transaction);
      return answer;
    },
    commit: async (step) => {
      const found = await findTransaction(step);
      step.transactions.delete(step.statement.transaction);
      return 'refusal' in found ? found.refusal : found.transaction.commit(step.request);
    },
  };

  /**
   * Notes a transaction as its first statement arrives, before anything is waited for: its caller may
   * leave at once, and the roll-back that follows would find nothing to end.
   */
  function noteFirst(
    { isFirst, transaction: number }: RelayStatement,
    transactions: StreamTransactions,
  ): void {
    if (isFirst) transactions.set(number, { transaction: undefined, isEnded: false });
  }

  /** Finds the transaction of a statement, or begins it with the first one. */
  async function findTransaction({
    statement,
    request,
    task,
    transactions,
  }: Parameters<Handler>[0]): Promise<{ transaction: Transaction } | { refusal: UpstreamAnswer }> {
    const { transaction: number, isReadOnly } = statement;
    const relayed = transactions.get(number);
    if (!relayed) return { refusal: refuseEnded() };
    if (relayed.transaction) return { transaction: relayed.transaction };
    const opened = await task.openTransaction(request, { isReadOnly, began: request.arrived });
    if ('refusal' in opened) {
      transactions.delete(number);
      return opened;
    }
    relayed.transaction = opened.transaction;
    // The sender may have rolled back, or be gone, while the member began it.
    if (relayed.isEnded) opened.transaction.rollBack();
    return opened;
  }

  function end(transactions: StreamTransactions, number: number): void {
    const relayed = transactions.get(number);
    if (!relayed) return;
    relayed.isEnded = true;
    relayed.transaction?.rollBack();
    transactions.delete(number);
  }

  function endAll(transactions: StreamTransactions): void {
    for (const number of [...transactions.keys()]) end(transactions, number);
  }

  /** @returns undefined where the sender has another version of the configuration. */
  async function handle(
    statement: RelayStatement,
    transactions: StreamTransactions,
  ): Promise<RelayResponse['answer']> {
    const action = decodeAction(statement);
    const { route, version } = decodeRoute(statement);
    // A transaction goes on by the version that it began with.
    const hasBegun = transactions.has(statement.transaction);
    noteFirst(statement, transactions);
    if (!hasBegun) await book.waitFor(version, CATCH_UP_MILLISECONDS);
    if (!hasBegun && book.version() !== version) {
      transactions.delete(statement.transaction);
      return undefined;
    }
    await freshenDirectory();
    const task = findGroup(route.group);
    if (!task) throw new RelayMessageError(`no group: ${route.group}`);
    const request = decodeStatement(statement, { arrived: task.markArrival() });
    const answer = await handlers[action]({ statement, request, task, transactions });
    return encodeAnswer(answer, { lastCommit: request.session.lastCommit, now: clock.now() });
  }

  /** What it had done was rolled back when it ended. */
  function refuseEnded(): UpstreamAnswer {
    const detail = 'the transaction has ended';
    return { outcome: 'refused', reason: 'aborted', detail, transaction: 'failed' };
  }

  /** A message that cannot be understood did not run; of another failure nothing is known. */
  function answerFailure(
    { id, lastCommit }: RelayStatement,
    error: Error,
  ): RelayResponse['answer'] {
    logger.error('relayedStatementFailed', { requestId: id, error });
    const reason = error instanceof RelayMessageError ? 'busy' : 'unknownOutcome';
    const detail = 'the instance that should run the statement failed';
    const refusal = { outcome: 'refused', reason, detail, transaction: 'failed' } as const;
    // The sender takes the commit from the answer; without it the session would read an older log.
    return { ...encodeAnswer(refusal, { lastCommit: undefined, now: clock.now() }), lastCommit };
  }

  async function respondTo(
    { number, statement, ...rest }: RelayRequest,
    { respond, transactions }: { respond: Respond; transactions: StreamTransactions },
  ): Promise<void> {
    const { rolledBackTransaction, wantsConfiguration, configurationJson } = rest;
    if (rolledBackTransaction > 0) {
      end(transactions, rolledBackTransaction);
    } else if (statement) {
      running += 1;
      const answer = await handle(statement, transactions)
        .catch((error: Error) => {
          end(transactions, statement.transaction);
          return answerFailure(statement, error);
        })
        .finally(() => {
          running -= 1;
        });
      respond(createResponse(number, { answer }));
    } else {
      if (configurationJson !== '') book.adopt(decodeConfiguration(configurationJson));
      const own = wantsConfiguration ? book.current() : undefined;
      respond(createResponse(number, { configurationJson: own ? encodeConfiguration(own) : '' }));
    }
  }

  function createResponse(
    number: number,
    content: Partial<Pick<RelayResponse, 'answer' | 'configurationJson'>> = {},
  ): RelayResponse {
    const version = Math.max(0, book.version());
    return { number, isLeaving, version, answer: undefined, configurationJson: '', ...content };
  }

  const accept: RelayAcceptor = (respond) => {
    const transactions: StreamTransactions = new Map();
    streams.set(respond, transactions);
    respond(createResponse(0));
    return {
      onRequest: (request) => {
        respondTo(request, { respond, transactions }).catch((error: Error) => {
          logger.error('relayRequestFailed', { number: request.number, error });
        });
      },
      onEnd: () => {
        streams.delete(respond);
        endAll(transactions);
      },
    };
  };

  return {
    accept,
    leave: () => {
      isLeaving = true;
      for (const respond of streams.keys()) respond(createResponse(0));
    },
    abandonTransactions: () => {
      for (const transactions of streams.values()) endAll(transactions);
    },
    load: () => {
      let open = 0;
      for (const transactions of streams.values()) open += transactions.size;
      return running + open;
    },
  };
}
