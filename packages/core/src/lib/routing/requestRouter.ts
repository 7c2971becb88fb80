import { isAtMost } from '@wisterialift/schema';
import type { NotRunReason } from '@wisterialift/schema';
import { shows } from '../engine/history';
import { hasAnswered, termOf } from '../engine/memberTable';
import type { Member } from '../engine/memberTable';
import type { RequestContext } from '../engine/requestContext';
import type { TrackedRequest } from '../engine/requestTable';
import { chooseReadMember, servesBy } from '../reads/readRouter';
import type { ReadNeed, ReadRoute } from '../reads/readRouter';

/** How long a read rather waits for a replica that keeps up than goes to the primary. */
const READ_PATIENCE_MILLISECONDS = 50;
/** Failed questions in a row after which a member gets no new work. */
const FAILURES_OF_AN_UNUSABLE_MEMBER = 2;

/** @internal */
export interface RequestRouter {
  /** Members that reads may go to now, with a place each. */
  readCandidates: (now: number) => Member[];
  routeRead: (request: TrackedRequest, candidates: Member[], now: number) => ReadRoute | undefined;
  /** The member that writes go to; undefined while there is none that may acknowledge them. */
  usablePrimary: (now: number) => Member | undefined;
  mayRunAtPrimary: (request: TrackedRequest, primary: Member) => boolean;
  /** Whether some member may serve the read now, if it has a place. */
  isServable: (request: TrackedRequest, now: number) => boolean;
  /** Why the request has not been sent so far. */
  reasonOf: (request: TrackedRequest, now: number) => NotRunReason;
  isSilent: (member: Member, now: number) => boolean;
  /** Whether requests wait for something that answers of members can bring about. */
  waitsForMembers: (now: number) => boolean;
}

/**
 * Creates the choice of the member that a request goes to.
 *
 * @internal
 */
export function createRequestRouter(context: RequestContext): RequestRouter {
  const { policy, dataCentre, members, places, requests, reads, changes, holdsWrites } = context;

  function needOf(request: TrackedRequest, now: number): ReadNeed {
    const staleness = request.maximumStalenessMilliseconds;
    return {
      floor: staleness === 0 ? (request.token ?? request.round?.floor) : request.round?.floor,
      notBefore: staleness > 0 ? now - staleness : undefined,
      token: request.token,
      avoid: request.avoid,
    };
  }

  function isUsable(member: Member, now: number): boolean {
    if (member.failedQuestions >= FAILURES_OF_AN_UNUSABLE_MEMBER) return false;
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
    const need = needOf(request, now);
    const route = chooseReadMember({
      candidates,
      need,
      dataCentre,
      primary,
      runningAt: places.running,
    });
    if (!route || route.member !== primary) return route;
    return isPatient(request, primary, now) ? undefined : route;
  }

  /** The primary goes last: a replica that keeps up is given a moment, one that lags is not. */
  function isPatient(request: TrackedRequest, primary: Member, now: number): boolean {
    if (request.patienceUntil === undefined) {
      const half = (request.deadlineAt - now) / 2;
      request.patienceUntil = now + Math.min(READ_PATIENCE_MILLISECONDS, half);
      requests.wakeAt(request, request.patienceUntil);
    }
    if (now >= request.patienceUntil) return false;
    return members.list().some((member) => {
      if (member === primary || member.database.leaving || !isUsable(member, now)) return false;
      return keepsUp(member) || isAwaited(member, request);
    });
  }

  function keepsUp(member: Member): boolean {
    return member.statusAskedAt - member.freshAsOf <= READ_PATIENCE_MILLISECONDS;
  }

  /** The member's answer to the round may still lower the floor to what a replica has applied. */
  function isAwaited(member: Member, { round }: TrackedRequest): boolean {
    return round !== undefined && member.statusQuestionId < round.firstQuestionId;
  }

  /** The member that writes go to; undefined while there is none that may acknowledge them. */
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
    // The session has seen a later primary's log; this one was replaced and only does not know it.
    if (token && token.term > termOf(primary)) return false;
    if (request.access === 'write') return true;
    const { status } = primary;
    if (!status || !round?.floor || status.currentTerm < round.term) return false;
    return isAtMost(round.floor, status.applied) && (!token || shows(status, token));
  }

  function isSilent(member: Member, now: number): boolean {
    const isFailing = member.failedQuestions >= FAILURES_OF_AN_UNUSABLE_MEMBER;
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
    const need = needOf(request, now);
    return members.list().some((member) => servesBy(member, need) !== undefined);
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
