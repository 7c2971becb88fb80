import type { TransactionState } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { Member } from './member';
import type { PooledConnection } from './upstreamPool';

/**
 * Gives a connection back after an answer that left it in the given state.
 *
 * A transaction that nobody uses any more is rolled back first. Given back with it, the connection
 * would run the next session's statements inside that transaction.
 */
export function giveBack(
  { logger }: { logger: Logger },
  options: { member: Member; connection: PooledConnection; transaction: TransactionState },
): void {
  const { member, connection, transaction } = options;
  if (transaction === 'idle') {
    member.pool.release(connection);
    return;
  }
  connection.link.run({ type: 'rollback' }).then(
    (answer) => {
      if (answer.transaction === 'idle') member.pool.release(connection);
      else member.pool.discard(connection);
    },
    (error: Error) => {
      logger.warn('rollbackNotAnswered', { memberId: member.entry.memberId, error });
      member.pool.discard(connection);
    },
  );
}
