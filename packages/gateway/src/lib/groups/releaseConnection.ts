import type { TransactionState } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { Member } from './member';
import type { PooledConnection } from './upstreamPool';

/**
 * Returns a connection to its pool, rolling back an open transaction first.
 *
 * Otherwise the next session's statements would run inside that transaction.
 */
export function releaseConnection(
  { logger }: { logger: Logger },
  options: { member: Member; connection: PooledConnection; transaction: TransactionState },
): void {
  const { member, connection, transaction } = options;
  if (transaction === 'idle') {
    member.pool.release(connection);
    return;
  }
  connection.upstream.run({ type: 'rollback' }).then(
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
