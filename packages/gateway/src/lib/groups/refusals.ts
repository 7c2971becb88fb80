import { computeRetryDelay } from '@wisterialift/pooling';
import type { FailureReason, UpstreamAnswer } from '@wisterialift/pooling';
import type { LogFields } from '@wisterialift/telemetry';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { MemberQueue } from './returnGuidance';
import { appendReturnTime } from './returnTime';
import type { StatementRequest } from './statementRequest';

/** Counters, logging and, if available, the state of the group. */
type RefusalContext = Pick<GroupContext, 'clock' | 'counters' | 'group' | 'logger' | 'random'> &
  Partial<
    Pick<
      GroupContext,
      'primaryTracker' | 'evidence' | 'leavingPolicy' | 'members' | 'returnGuidance'
    >
  >;

/** Creates, counts and logs a refusal by this instance; `fields` are added to the log line. */
export function refuseStatement(
  context: RefusalContext,
  request: StatementRequest,
  reason: FailureReason,
  detail: string,
  fields: LogFields = {},
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
    ...(context.returnGuidance && { decidedBy: context.returnGuidance.instance }),
    ...fields,
  });
  return { outcome: 'refused', reason, detail, transaction: 'idle' };
}

function describeLag(lag: Member['lag'], now: number) {
  const { lag: milliseconds, age } = lag.getLastObservation(now);
  return { lag: Math.round(milliseconds), lagAge: age === undefined ? undefined : Math.round(age) };
}

/** Returns the primary's queue, for a statement that only the primary can run. */
export function listPrimaryQueue({
  primaryTracker,
}: Pick<RefusalContext, 'primaryTracker'>): MemberQueue[] {
  const primary = primaryTracker?.find();
  return primary ? [{ member: primary, lagWait: 0 }] : [];
}

/**
 * Refuses a statement temporarily and states a return time.
 *
 * @param queues - the members that can run it; the primary if omitted.
 */
export function refuseTemporarily(
  context: RefusalContext,
  request: StatementRequest,
  reason: FailureReason,
  detail: string,
  queues: MemberQueue[] = listPrimaryQueue(context),
): UpstreamAnswer {
  if (context.returnGuidance) {
    const { milliseconds, expectedWait } = context.returnGuidance.planReturn(request, queues);
    return refuseStatement(context, request, reason, appendReturnTime(detail, milliseconds), {
      expectedWaitMilliseconds: expectedWait === undefined ? undefined : Math.round(expectedWait),
      returnMilliseconds: milliseconds,
    });
  }
  const milliseconds = computeRetryDelay({
    expectedWait: findShortestWait(context),
    jitter: context.random(),
  });
  return refuseStatement(context, request, reason, appendReturnTime(detail, milliseconds));
}

/** Refuses a statement for which no member was found; see `refuseTemporarily`. */
export function refuseUnroutable(
  context: GroupContext,
  request: StatementRequest,
  reason: FailureReason,
  detail: string,
  queues?: MemberQueue[],
): UpstreamAnswer {
  if (context.leavingPolicy.isGroupClosed()) return refuseClosedGroup(context, request);
  return refuseTemporarily(context, request, reason, detail, queues);
}

/** Refuses a statement because all members are leaving. */
function refuseClosedGroup(context: GroupContext, request: StatementRequest): UpstreamAnswer {
  const milliseconds = computeRetryDelay({ expectedWait: Infinity, jitter: context.random() });
  const detail = appendReturnTime('all members are leaving', milliseconds);
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
