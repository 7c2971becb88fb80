import type { Position } from '@wisterialift/schema';
import type { NotSentCause } from './attemptCommand';
import type { GroupContext } from './groupContext';
import type { StatementRequest } from './statementRequest';
import type { PooledConnection } from './upstreamPool';

/**
 * Logs the attempts of one read, and with which version of the session's variables each was sent.
 *
 * Writes nothing until `start`, because most reads take a single attempt.
 */
export interface ReadAttemptLog {
  /** Logs the attempts so far and each further one; called once several of them may run. */
  start: () => void;
  /** @param after - log that the member must have applied; any if omitted. */
  recordSent: (memberId: string, connection: PooledConnection, after?: Position) => void;
  recordNotSent: (memberId: string, cause: NotSentCause) => void;
}

interface AttemptLine {
  event: 'readAttemptSent' | 'readAttemptNotSent';
  at: number;
  fields: Record<string, unknown>;
}

export function createReadAttemptLog(
  { group, clock, logger }: GroupContext,
  { id: requestId, session, sessionState }: StatementRequest,
): ReadAttemptLog {
  const unwritten: AttemptLine[] = [];
  let sentCount = 0;
  let isStarted = false;

  function write({ event, at, fields }: AttemptLine): void {
    const millisecondsAgo = Math.round(clock.now() - at);
    logger.info(event, { group, requestId, ...fields, millisecondsAgo });
  }

  function record(event: AttemptLine['event'], fields: AttemptLine['fields']): void {
    const line = { event, at: clock.now(), fields };
    if (isStarted) write(line);
    else unwritten.push(line);
  }

  return {
    start: () => {
      isStarted = true;
      unwritten.splice(0).forEach(write);
    },
    recordSent: (memberId, { number, preparedVersion }, after) => {
      sentCount += 1;
      record('readAttemptSent', {
        memberId,
        connection: number,
        attempt: sentCount,
        statementVersion: sessionState.version,
        preparedVersion,
        sessionVersion: session.stateVersion,
        ...(after && { after }),
      });
    },
    recordNotSent: (memberId, cause) => record('readAttemptNotSent', { memberId, cause }),
  };
}
