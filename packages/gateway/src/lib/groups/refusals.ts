import { computeRetryDelay } from '@wisterialift/pooling';
import type { FailureReason, UpstreamAnswer } from '@wisterialift/pooling';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { StatementRequest } from './statementRequest';

/** Counters, logging and, if available, the state of the group. */
type RefusalContext = Pick<GroupContext, 'clock' | 'counters' | 'group' | 'logger' | 'random'> &
  Partial<Pick<GroupContext, 'primaryTracker' | 'evidence' | 'leavingPolicy' | 'members'>>;

/** Creates, counts and logs a refusal by this instance. */
export function refuseStatement(
  context: RefusalContext,
  request: StatementRequest,
  reason: FailureReason,
  detail: string,
): UpstreamAnswer {
  const { clock, counters, evidence, group, logger, primaryTracker, members } = context;
  counters.refusals += 1;
  logger.warn('statementRefused', {
    group,
    requestId: request.id,
    reason,
    detail,
    waitedMilliseconds: Math.round(clock.now() - request.arrivalStamp.at),
    primaryId: primaryTracker?.find()?.entry.memberId,
    term: evidence?.getHighestTerm(),
    members: members && describeMembers(members, clock.now()),
  });
  return { outcome: 'refused', reason, detail, transaction: 'idle' };
}

function describeLag(lag: Member['lag'], now: number) {
  const { lag: milliseconds, age } = lag.getLastObservation(now);
  return { lag: Math.round(milliseconds), lagAge: age === undefined ? undefined : Math.round(age) };
}

/** Refuses a statement temporarily and states a retry delay. */
export function refuseTemporarily(
  context: RefusalContext,
  request: StatementRequest,
  reason: FailureReason,
  detail: string,
): UpstreamAnswer {
  const milliseconds = computeRetryDelay({
    expectedWait: findShortestWait(context),
    jitter: context.random(),
  });
  return refuseStatement(context, request, reason, `${detail}, come back in ${milliseconds} ms`);
}

/** Refuses a statement for which no member was found and states a retry delay. */
export function refuseUnroutable(
  context: GroupContext,
  request: StatementRequest,
  reason: FailureReason,
  detail: string,
): UpstreamAnswer {
  if (context.leavingPolicy.isGroupClosed()) return refuseClosedGroup(context, request);
  return refuseTemporarily(context, request, reason, detail);
}

/** Refuses a statement because all members are leaving. */
function refuseClosedGroup(context: GroupContext, request: StatementRequest): UpstreamAnswer {
  const milliseconds = computeRetryDelay({ expectedWait: Infinity, jitter: context.random() });
  const detail = `all members are leaving, come back in ${milliseconds} ms`;
  return refuseStatement(context, request, 'busy', detail);
}

function findShortestWait({ clock, leavingPolicy, members }: RefusalContext): number | undefined {
  const waits = [...(members?.values() ?? [])]
    .filter((member) => member.avoidUntil <= clock.now() && leavingPolicy?.canAccept(member))
    .map(({ admission }) => admission.estimateWait());
  return waits.length > 0 ? Math.min(...waits) : undefined;
}

/** Returns the members' routing state for the log; times are in milliseconds. */
function describeMembers(members: GroupContext['members'], now: number) {
  return [...members.values()].map(({ entry, admission, lag, latency, avoidUntil }) => ({
    memberId: entry.memberId,
    ...describeLag(lag, now),
    latency: Math.round(latency.getCurrent(now)),
    load: admission.countStatements(),
    avoidedFor: Math.max(0, Math.round(avoidUntil - now)) || undefined,
  }));
}
