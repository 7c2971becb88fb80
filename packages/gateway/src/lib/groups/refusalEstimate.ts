import type { GroupContext } from './groupContext';
import type { ReadRouter } from './readRouter';
import { listPrimaryQueue } from './refusals';
import type { StatementRequest } from './statementRequest';

/** For how long a holder would refuse statements of one database, access and priority. */
export interface RefusalEstimate {
  milliseconds: number;
  /** Whether it would refuse only statements of the same team. */
  isTeamOnly: boolean;
}

/**
 * Estimates for how long another statement like a refused one would be refused for lack of capacity.
 *
 * @returns undefined if it would not, or without the control `retryGuidance`.
 */
export function estimateRefusal(
  context: Pick<GroupContext, 'isLoadControlEnabled' | 'primaryTracker' | 'returnGuidance'>,
  reads: Pick<ReadRouter, 'listQueues'>,
  { request, access }: { request: StatementRequest; access: 'read' | 'write' },
): RefusalEstimate | undefined {
  const { returnGuidance, isLoadControlEnabled } = context;
  if (!returnGuidance) return undefined;
  // Another session may not require the commit that this one does.
  const another = { ...request, session: { ...request.session, lastCommit: undefined } };
  const queues = access === 'read' ? reads.listQueues(another) : listPrimaryQueue(context);
  const milliseconds = returnGuidance.estimateRefusal(another, queues);
  if (milliseconds === 0) return undefined;
  // In the fair order, the statements of another team may go before those of this one.
  return { milliseconds, isTeamOnly: isLoadControlEnabled('fairOrder') };
}
