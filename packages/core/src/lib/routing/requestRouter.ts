import { isAtMost } from '@wisterialift/schema';
import type { NotRunReason } from '@wisterialift/schema';
import { shows } from '../engine/history';
import { hasAnswered, termOf } from '../engine/memberTable';
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
  readCandidates: (now: number) => Member[];
  routeRead: (request: TrackedRequest, candidates: Member[], now: number) => ReadRoute | undefined;
  /** Returns the primary for writes; undefined while none can acknowledge them. */
  usablePrimary: (now: number) => Member | undefined;
  mayRunAtPrimary: (request: TrackedRequest, primary: Member) => boolean;
  /** Whether any member is eligible for the read, regardless of its capacity. */
  isServable: (request: TrackedRequest, now: number) => boolean;
  /** Returns the reason why a queued request has not been sent. */
  reasonOf: (request: TrackedRequest, now: number) => NotRunReason;
  isSilent: (member: Member, now: number) => boolean;
  /** Whether queued requests wait for new status answers rather than for capacity. */
  waitsForMembers: (now: number) => boolean;
}

/**
 * Creates the router that selects a member for each request.
 *
 * @internal
 */
export function createRequestRouter(context: RequestContext): RequestRouter {
  const { policy, dataCentre, members, places, requests, reads, changes, holdsWrites } = context;

  function createRequirement(request: TrackedRequest, now: number): ReadRequirement {
    const staleness = request.maximumStalenessMilliseconds;
    return {
      floor: staleness === 0 ? (request.token ?? request.round?.floor) : request.round?.floor,
      freshSince: staleness > 0 ? now - staleness : undefined,
      token: request.token,
      avoidedMember: request.avoid,
    };
  }

  function isUsable(member: Member, now: number): boolean {
    if (member.failedQuestions >= UNUSABLE_MEMBER_FAILURES) return false;
    if (now < member.avoidUntil) return false;
    return hasAnswered(member, policy.suspicionMilliseconds, now);
  }

  function readCandidates(now: number): Member[] {
    return members
      .list()
      .filter(
        (member) => !member.database.leaving && isUsable(member, now) && places.hasPlace(member),
      );
  }

  function routeRead(
    request: TrackedRequest,
    candidates: Member[],
    now: number,
  ): ReadRoute | undefined {
    const primary = members.primary();
    const read = createRequirement(request, now);
    const route = chooseReadMember({
      candidates,
      read,
      dataCentre,
      primary,
      runningAt: places.running,
    });
    if (!route || route.member !== primary) return route;
    return isWaitingForReplica(request, primary, now) ? undefined : route;
  }

  /**
   * Returns whether the read should wait for an up-to-date replica instead of using the primary; the
   * first call starts the wait. Lagging replicas are waited for only until they answer the read's round.
   */
  function isWaitingForReplica(request: TrackedRequest, primary: Member, now: number): boolean {
    if (request.patienceUntil === undefined) {
      const halfOfRemainingTime = (request.deadlineAt - now) / 2;
      request.patienceUntil = now + Math.min(REPLICA_WAIT_MILLISECONDS, halfOfRemainingTime);
      requests.wakeAt(request, request.patienceUntil);
    }
    if (now >= request.patienceUntil) return false;
    return members.list().some((member) => {
      if (member === primary || member.database.leaving || !isUsable(member, now)) return false;
      return isCaughtUp(member) || hasPendingAnswer(member, request);
    });
  }

  function isCaughtUp(member: Member): boolean {
    return member.statusAskedAt - member.freshAsOf <= REPLICA_WAIT_MILLISECONDS;
  }

  /** A pending answer may still lower the floor of the round to a replica's position. */
  function hasPendingAnswer(member: Member, { round }: TrackedRequest): boolean {
    return round !== undefined && member.statusQuestionId < round.firstQuestionId;
  }

  function usablePrimary(now: number): Member | undefined {
    if (holdsWrites()) return undefined;
    const primary = members.primary();
    if (!primary || !isUsable(primary, now)) return undefined;
    const answering = members
      .list()
      .filter((member) => hasAnswered(member, policy.suspicionMilliseconds, now));
    return answering.length >= members.majority() ? primary : undefined;
  }

  function mayRunAtPrimary(request: TrackedRequest, primary: Member): boolean {
    const { round, token } = request;
    // The session has seen a higher term, so this primary has been replaced.
    if (token && token.term > termOf(primary)) return false;
    if (request.access === 'write') return true;
    const { status } = primary;
    if (!status || !round?.floor || status.currentTerm < round.term) return false;
    return isAtMost(round.floor, status.applied) && (!token || shows(status, token));
  }

  function isSilent(member: Member, now: number): boolean {
    const isFailing = member.failedQuestions >= UNUSABLE_MEMBER_FAILURES;
    return isFailing && now - member.silentSince >= policy.suspicionMilliseconds;
  }

  function reasonOf(request: TrackedRequest, now: number): NotRunReason {
    if (request.access !== 'read') return usablePrimary(now) ? 'deadline' : 'noPrimary';
    return isServable(request, now) ? 'deadline' : 'noFreshMember';
  }

  function waitsForMembers(now: number): boolean {
    if (reads.length() > 0 && readCandidates(now).length > 0) return true;
    if (changes.length() === 0) return false;
    const primary = usablePrimary(now);
    return !primary || places.hasPlace(primary);
  }

  function isServable(request: TrackedRequest, now: number): boolean {
    const read = createRequirement(request, now);
    return members.list().some((member) => findReadEligibility(member, read) !== undefined);
  }

  return {
    readCandidates,
    routeRead,
    usablePrimary,
    mayRunAtPrimary,
    isServable,
    reasonOf,
    isSilent,
    waitsForMembers,
  };
}
