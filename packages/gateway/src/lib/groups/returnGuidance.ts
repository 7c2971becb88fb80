import { computeLatestReturn, createReturnSchedule } from '@wisterialift/core';
import type { CreditOwner, ReturnCredits, ReturnSchedule } from '@wisterialift/core';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { StatementRequest } from './statementRequest';

/** A member that can run a statement. */
export interface MemberQueue {
  member: Member;
  /** Expected milliseconds until the member has applied the log that the statement requires. */
  lagWait: number;
}

/** Return time of a refused statement. */
export interface PlannedReturn {
  milliseconds: number;
  /** Expected wait for the members that can run it, in milliseconds; undefined if not known. */
  expectedWait: number | undefined;
}

/** Tells refused statements when to return, and orders those that do by their first arrival. */
export interface ReturnGuidance {
  /** Name of this instance, for log lines. */
  instance: string;
  /**
   * Plans the return of a refused statement and gives it a credit.
   *
   * @param queues - the members that can run it; none if not known.
   */
  planReturn: (request: StatementRequest, queues: MemberQueue[]) => PlannedReturn;
  /** Returns the arrival time by which a statement is ordered; uses a credit at the first call. */
  findOrderingTime: (request: StatementRequest) => number;
  /**
   * Returns the milliseconds for which another statement of the same database, access, priority and
   * team would be refused for lack of capacity at every member that can run it; 0 if it would not.
   */
  estimateRefusal: (request: StatementRequest, queues: MemberQueue[]) => number;
}

/** Longest time for which an instance refuses on behalf of a holder: the load may have changed. */
export const MAXIMUM_REFUSAL_MILLISECONDS = 100;

export function createReturnGuidance(
  context: Pick<GroupContext, 'clock' | 'counters' | 'random'>,
  { instance, credits }: { instance: string; credits: ReturnCredits },
): ReturnGuidance {
  const { clock, counters, random } = context;
  const schedules = new WeakMap<Member, ReturnSchedule>();
  /** For statements for which no member is known. */
  const unroutedSchedule = createReturnSchedule();
  const orderingTimes = new WeakMap<StatementRequest, number>();

  function getSchedule(member: Member | undefined): ReturnSchedule {
    if (!member) return unroutedSchedule;
    const schedule = schedules.get(member) ?? createReturnSchedule();
    schedules.set(member, schedule);
    return schedule;
  }

  const estimateWait = ({ member, lagWait }: MemberQueue) =>
    Math.max(lagWait, member.admission.estimateWait(), member.avoidUntil - clock.now());

  function planReturn(request: StatementRequest, queues: MemberQueue[]): PlannedReturn {
    const now = clock.now();
    const arrivedAt = request.arrivalStamp.at;
    const [shortest] = queues
      .map((queue) => ({ member: queue.member, wait: estimateWait(queue) }))
      .sort((left, right) => left.wait - right.wait);
    const milliseconds = getSchedule(shortest?.member).reserve({
      now,
      expectedWait: shortest?.wait,
      interval: shortest?.member.admission.estimateInterval() ?? 0,
      latest: computeLatestReturn({ timeLimit: request.route.timeout, waited: now - arrivedAt }),
      jitter: random(),
    });
    credits.give(toOwner(request), { arrivedAt, now, returnMilliseconds: milliseconds });
    counters.returnCreditsGiven += 1;
    return { milliseconds, expectedWait: shortest?.wait };
  }

  function findOrderingTime(request: StatementRequest): number {
    const known = orderingTimes.get(request);
    if (known !== undefined) return known;
    const arrivedAt = request.arrivalStamp.at;
    const credited = credits.claim(toOwner(request), { arrivedAt, goal: request.route.goal });
    if (credited !== undefined) counters.returnCreditsUsed += 1;
    const orderedAt = credited ?? arrivedAt;
    orderingTimes.set(request, orderedAt);
    return orderedAt;
  }

  function estimateRefusal({ route, team }: StatementRequest, queues: MemberQueue[]): number {
    const now = clock.now();
    const { priority, goal, timeout } = route;
    const another = { priority, goal, arrivedAt: now, deadlineAt: now + timeout, team };
    const excessWaits = queues
      .filter(({ lagWait }) => lagWait <= timeout)
      .map(({ member }) => member.admission.estimateExcessWait(another));
    if (excessWaits.length === 0) return 0;
    return Math.min(MAXIMUM_REFUSAL_MILLISECONDS, Math.ceil(Math.min(...excessWaits)));
  }

  return { instance, planReturn, findOrderingTime, estimateRefusal };
}

function toOwner({ team, route }: StatementRequest): CreditOwner {
  return { team, database: route.database };
}
