import { DatabaseError } from '../engine/databaseError';
import type { Faults } from '../faults/createFaults';
import type { Member } from '../group/createMember';
import { answerLogRequest, parseLogRequest } from '../group/groupStatements';
import type { LogAnswer } from '../group/groupStatements';
import type { Log } from '../log/createLog';

/** The primary's half of replication. */
export interface LogServer {
  /**
   * Answers a replica's request, waiting a while for new entries.
   *
   * @returns undefined where the statement is no such request.
   */
  answer: (sql: string, isGone: () => boolean) => Promise<LogAnswer | undefined>;
  /** Tells waiting replicas that an entry was written. */
  notify: () => void;
}

const WAIT_MILLISECONDS = 1_000;

/** Creates the log server of a database. */
export function createLogServer(options: { member: Member; log: Log; faults: Faults }): LogServer {
  const { member, log, faults } = options;
  let waiting: (() => void)[] = [];

  function notify(): void {
    const released = waiting;
    waiting = [];
    released.forEach((release) => release());
  }

  function waitForEntry(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, WAIT_MILLISECONDS);
      waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  function refuseWhenCut(): void {
    if (!faults.settings().cutFromGroup) return;
    throw new DatabaseError(1105, 'HY000', 'cut from the group');
  }

  member.onChange(notify);
  faults.onChange(notify);

  return {
    notify,
    answer: async (sql, isGone) => {
      const request = parseLogRequest(sql);
      if (!request) return undefined;
      refuseWhenCut();
      const answer = answerLogRequest(request, member, log);
      if (answer.type !== 'entries' || answer.entries.length > 0 || isGone()) return answer;
      await waitForEntry();
      refuseWhenCut();
      return answerLogRequest(request, member, log);
    },
  };
}
