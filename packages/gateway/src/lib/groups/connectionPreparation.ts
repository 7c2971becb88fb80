import { applyStateCommand, isPrepared, planStateRestore } from '@wisterialift/pooling';
import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import { settleWithTimeout } from '../timing/promiseTimeout';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { StatementRequest } from './statementRequest';
import type { PooledConnection } from './upstreamPool';

type Refusal = UpstreamAnswer & { outcome: 'refused' };

/** Whether a connection has the state that a statement requires. */
export type Preparation =
  | {
      type: 'ready';
      /** Whether the statement has just been prepared on the connection. */
      hasPrepared: boolean;
    }
  | {
      type: 'refused';
      answer: Refusal;
      /** Whether every member would refuse it, so that no other attempt can succeed. */
      isFinal: boolean;
    }
  /** Not answered; the connection must be discarded. */
  | { type: 'lost' };

/**
 * Brings a connection into the state that a statement requires, and logs why if that fails.
 *
 * Send the statement only if it is ready; otherwise another session's values may be visible to it.
 */
export async function prepareConnection(
  context: GroupContext,
  { entry }: Member,
  options: { connection: PooledConnection; request: StatementRequest; deadlineAt: number },
): Promise<Preparation> {
  const { clock, group, logger } = context;
  const { connection, request, deadlineAt } = options;
  const hasPrepared = request.prepared
    ? !isPrepared(connection.state, request.prepared.statement)
    : false;
  const restoring = restoreState(context, connection, request);
  const prepared = await settleWithTimeout(clock, restoring, deadlineAt - clock.now());
  if (prepared.type === 'value' && !prepared.value) return { type: 'ready', hasPrepared };
  const { memberId } = entry;
  logger.warn('connectionNotPrepared', { group, memberId, requestId: request.id, prepared });
  if (prepared.type === 'value' && prepared.value) return prepared.value;
  return { type: 'lost' };
}

/** @returns the first refusal, or undefined if the connection is ready. */
async function restoreState(
  { counters }: GroupContext,
  connection: PooledConnection,
  { sessionState, prepared }: StatementRequest,
): Promise<(Preparation & { type: 'refused' }) | undefined> {
  const commands = planStateRestore({
    session: sessionState,
    connection: connection.state,
    statement: prepared?.statement,
  });
  Object.assign(connection, { preparedVersion: sessionState.version });
  if (commands.length === 0) return undefined;
  const preparations = commands.filter(({ type }) => type === 'prepare').length;
  Object.assign(counters, { preparations: counters.preparations + preparations });
  const answers = await Promise.all(commands.map((command) => connection.upstream.run(command)));
  commands.forEach((command, index) => {
    // Each command has its effect even if the member refused another one.
    const isCompleted = answers[index]?.outcome === 'completed';
    if (isCompleted) applyStateCommand(connection.state, command);
  });
  const refusals = answers.map((answer, index) => toRefusal(commands[index]!, answer));
  return refusals.find((refusal) => refusal !== undefined);
}

function toRefusal(
  { type }: UpstreamCommand,
  answer: UpstreamAnswer,
): (Preparation & { type: 'refused' }) | undefined {
  if (answer.outcome !== 'refused') return undefined;
  // In a failed transaction, or at a reset, the refusal is due to the connection.
  const isDueToContent = (type === 'set' || type === 'prepare') && answer.transaction !== 'failed';
  return { type: 'refused', answer, isFinal: isDueToContent && answer.reason === 'malformed' };
}
