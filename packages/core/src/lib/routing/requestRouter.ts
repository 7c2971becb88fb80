import { isAtMost } from '@wisterialift/schema';
import type { NotRunReason } from '@wisterialift/schema';
import { hasApplied } from '../engine/logHistory';
import { getMemberSet } from '../engine/memberSet';
import { hasRespondedWithin, getTerm } from '../engine/memberTable';
import type { Member } from '../engine/memberTable';
import type { RequestContext } from '../engine/requestContext';
import type { TrackedRequest } from '../engine/requestTable';
import { chooseReadMember, findReadEligibility } from '../reads/readRouter';
import type { ReadRequirement, ReadRoute } from '../reads/readRouter';

/** How long a read waits for an up-to-date replica before it is sent to the primary. */
const REPLICA_WAIT_MILLISECONDS = 50;
/** Consecutive failed status requests after which a member gets no new requests. */
const UNUSABLE_MEMBER_FAILURES = 2;

/** @internal */
export interface RequestRouter {
  /** Returns the usable members with free capacity for reads. */
  listReadCandidates: (now: number) => Member[];
  routeRead: (request: TrackedRequest, candidates: Member[], now: number) => ReadRoute | undefined;
  /** Returns the primary for writes; undefined while none can acknowledge them. */
  findUsablePrimary: (now: number) => Member | undefined;
  canRunAtPrimary: (request: TrackedRequest, primary: Member) => boolean;
  /** Whether any member is eligible for the read, regardless of its capacity. */
  isServable: (request: TrackedRequest) => boolean;
  /** Returns the reason why a queued request has not been sent. */
  findNotRunReason: (request: TrackedRequest, now: number) => NotRunReason;
  isSilent: (member: Member, now: number) => boolean;
  /** Whether queued requests wait for new status answers rather than for capacity. */
  hasRequestsWaitingForStatus: (now: number) => boolean;
}

/**
 * Creates the router that selects a member for each request.
 *
 * @internal
 */
export function createRequestRouter(context: RequestContext): RequestRouter {
  const {
    policy,
    dataCentre,
    members,
    capacity,
    ageClock,
    requests,
    readQueue,
    primaryQueue,
    isBlockingWrites,
  } = context;

  function createRequirement(request: TrackedRequest): ReadRequirement {
    const staleness = request.maximumStalenessMilliseconds;
    return {
      floor: staleness === 0 ? (request.token ?? request.round?.floor) : request.round?.floor,
      freshSince: staleness > 0 ? ageClock.computeEarliest(staleness) : undefined,
      token: request.token,
      avoidedMember: request.avoidedMember,
    };
  }

  function isUsable(member: Member, now: number): boolean {
    if (member.consecutiveFailures >= UNUSABLE_MEMBER_FAILURES) return false;
    if (now < member.avoidUntil) return false;
    return hasRespondedWithin(member, policy.suspicionMilliseconds, now);
  }

  function listReadCandidates(now: number): Member[] {
    return members
      .list()
      .filter(
        (member) =>
          !member.database.leaving && isUsable(member, now) && capacity.hasCapacity(member),
      );
  }

  function routeRead(
    request: TrackedRequest,
    candidates: Member[],
    now: number,
  ): ReadRoute | undefined {
    const primary = members.getPrimary();
    const read = createRequirement(request);
    const route = chooseReadMember({
      candidates,
      read,
      dataCentre,
      primary,
      runningAt: capacity.countRunning,
    });
    if (!route || route.member !== primary) return route;
    return isWaitingForReplica(request, primary, now) ? undefined : route;
  }

  /**
   * Returns whether the read waits for an up-to-date replica instead of using the primary; the first
   * call starts the wait. Lagging replicas count only until they answer the read's round.
   */
  function isWaitingForReplica(request: TrackedRequest, primary: Member, now: number): boolean {
    if (request.waitForReplicaUntil === undefined) {
      const halfOfRemainingTime = (request.deadlineAt - now) / 2;
      request.waitForReplicaUntil = now + Math.min(REPLICA_WAIT_MILLISECONDS, halfOfRemainingTime);
      requests.wakeAt(request, request.waitForReplicaUntil);
    }
    if (now >= request.waitForReplicaUntil) return false;
    return members.list().some((member) => {
      if (member === primary || member.database.leaving || !isUsable(member, now)) return false;
      return isCaughtUp(member) || hasPendingAnswer(member, request);
    });
  }

  function isCaughtUp(member: Member): boolean {
    return member.statusRequestedAt - member.freshAsOf <= REPLICA_WAIT_MILLISECONDS;
  }

  /** A pending answer may still lower the floor of the round to a replica's position. */
  function hasPendingAnswer(member: Member, { round }: TrackedRequest): boolean {
    return round !== undefined && member.statusControlRequestId < round.firstControlRequestId;
  }

  function findUsablePrimary(now: number): Member | undefined {
    if (isBlockingWrites()) return undefined;
    const primary = members.getPrimary();
    if (!primary || !isUsable(primary, now)) return undefined;
    // The list of members in use cannot confirm a write in a term of a later list.
    if (getMemberSet(getTerm(primary)) > members.getMemberSet()) return undefined;
    const answering = members
      .list()
      .filter((member) => hasRespondedWithin(member, policy.suspicionMilliseconds, now));
    return answering.length >= members.getMajority() ? primary : undefined;
  }

  function canRunAtPrimary(request: TrackedRequest, primary: Member): boolean {
    const { round, token } = request;
    // The session has seen a higher term, so this primary has been replaced.
    if (token && token.term > getTerm(primary)) return false;
    if (request.access === 'write') return true;
    const { status } = primary;
    if (!status || !round?.floor || status.currentTerm < round.term) return false;
    return isAtMost(round.floor, status.applied) && (!token || hasApplied(status, token));
  }

  function isSilent(member: Member, now: number): boolean {
    const isFailing = member.consecutiveFailures >= UNUSABLE_MEMBER_FAILURES;
    return isFailing && now - member.silentSince >= policy.suspicionMilliseconds;
  }

  function findNotRunReason(request: TrackedRequest, now: number): NotRunReason {
    if (request.access !== 'read') return findUsablePrimary(now) ? 'deadline' : 'noPrimary';
    return isServable(request) ? 'deadline' : 'noFreshMember';
  }

  function hasRequestsWaitingForStatus(now: number): boolean {
    if (readQueue.length() > 0 && listReadCandidates(now).length > 0) return true;
    if (primaryQueue.length() === 0) return false;
    const primary = findUsablePrimary(now);
    return !primary || capacity.hasCapacity(primary);
  }

  function isServable(request: TrackedRequest): boolean {
    const read = createRequirement(request);
    return members.list().some((member) => findReadEligibility(member, read) !== undefined);
  }

  return {
    listReadCandidates,
    routeRead,
    findUsablePrimary,
    canRunAtPrimary,
    isServable,
    findNotRunReason,
    isSilent,
    hasRequestsWaitingForStatus,
  };
}
