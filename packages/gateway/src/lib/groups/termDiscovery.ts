import type { GroupContext } from './groupContext';
import { isBehindSession } from './ownCommit';
import type { StatementNeeds } from './reachMonitor';
import { sendMemberCommand } from './sendMemberCommand';
import { shareRunning } from '../timing/shareRunning';
import { waitForFirstTrue } from '../timing/waitForFirstTrue';

/** Finds out about terms that this instance has missed and a session has a commit of. */
export interface TermDiscovery {
  /**
   * Queries the members if the statement's session has a commit of a term that none was seen in.
   * Resolves once a member answers in a later term than before, or all have answered or timed out; at
   * once for a while after that, as other holders can run the statement meanwhile.
   */
  discover: (needs: StatementNeeds) => Promise<void>;
}

/** Allows for a new connection and two round trips between distant data centres. */
const QUERY_TIMEOUT_MILLISECONDS = 400;

/** Pause after a query that found no later term. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Creates a discovery in which one query serves all statements that wait for it. */
export function createTermDiscovery(context: GroupContext): TermDiscovery {
  const { clock, evidence, group, logger, members } = context;
  let retryAt = -Infinity;

  async function queryMembers(): Promise<void> {
    const seenTerm = evidence.getHighestTerm();
    const listed = [...members.values()].filter(({ missingSince }) => missingSince === undefined);
    const isFound = await waitForFirstTrue(
      listed.map(async (member) => {
        await sendMemberCommand(context, member, { type: 'status' }, QUERY_TIMEOUT_MILLISECONDS);
        return evidence.getHighestTerm() > seenTerm;
      }),
    );
    if (!isFound) retryAt = clock.now() + RETRY_DELAY_MILLISECONDS;
    const term = evidence.getHighestTerm();
    logger.info('sessionAhead', { group, seenTerm, isFound, term });
  }

  const queryOnce = shareRunning(queryMembers);

  return {
    discover: async (needs) => {
      if (!isBehindSession(context, needs) || clock.now() < retryAt) return;
      await queryOnce();
    },
  };
}
