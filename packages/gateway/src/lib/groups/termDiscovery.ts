import type { GroupContext } from './groupContext';
import { isBehindSession } from './ownCommit';
import type { StatementNeeds } from './reachMonitor';
import { sendMemberCommand } from './sendMemberCommand';
import { waitForFirstTrue } from '../timing/waitForFirstTrue';

/** Finds out about terms that this instance has missed and a session has a commit of. */
export interface TermDiscovery {
  /**
   * Queries the members if the statement's session has a commit of a term that none was seen in.
   * Resolves once a member answers in a later term than before, or all have answered or timed out.
   */
  discover: (needs: StatementNeeds) => Promise<void>;
}

/** Allows for a new connection and two round trips between distant data centres. */
const QUERY_TIMEOUT_MILLISECONDS = 400;

/** Creates a discovery in which one query serves all statements that wait for it. */
export function createTermDiscovery(context: GroupContext): TermDiscovery {
  const { evidence, group, logger, members } = context;
  let running: Promise<unknown> | undefined;

  async function queryMembers(): Promise<void> {
    const seenTerm = evidence.getHighestTerm();
    const listed = [...members.values()].filter(({ missingSince }) => missingSince === undefined);
    const isFound = await waitForFirstTrue(
      listed.map(async (member) => {
        await sendMemberCommand(context, member, { type: 'status' }, QUERY_TIMEOUT_MILLISECONDS);
        return evidence.getHighestTerm() > seenTerm;
      }),
    );
    const term = evidence.getHighestTerm();
    logger.info('sessionAhead', { group, seenTerm, isFound, term });
  }

  return {
    discover: async (needs) => {
      if (!isBehindSession(context, needs)) return;
      running ??= queryMembers().finally(() => {
        running = undefined;
      });
      await running;
    },
  };
}
