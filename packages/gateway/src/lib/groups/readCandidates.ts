import type { MemberStatus } from '@wisterialift/core';
import { orderMembersForRead } from '@wisterialift/pooling';
import type { RequiredPosition } from '@wisterialift/pooling';
import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { findOwnCommit } from './ownCommit';
import type { PrimaryVerifier } from './primaryVerifier';
import type { MemberQueue } from './returnGuidance';
import type { StatementRequest } from './statementRequest';

/** A member that is eligible to run a read. */
export interface ReadCandidate {
  member: Member;
  /** Expected milliseconds until the member has applied the required log. */
  wait: number;
  /** Whether the read tests if a member with an outdated lag estimate still lags. */
  isTrialRead: boolean;
  isPrimary: boolean;
  /** Highest term that the member was confirmed as the primary of so far, 0 if none. */
  confirmedTerm: number;
  /**
   * Position that must be applied for the read. If none is known from which replicas can serve it, the
   * session's last commit, which the primary must have; undefined without one.
   */
  after: Position | undefined;
  /** Expected milliseconds until a connection is available. */
  delay: number;
  /** Whether the member has been ejected because it fails its runs. */
  status: MemberStatus;
}

/** How members are ranked for a read. */
export interface RankOptions {
  /** Members to leave out of the ranking because they have no capacity at present. */
  excludedMembers?: ReadonlySet<Member>;
  /** Member at which the read has failed. */
  failedMember?: Member;
  /** Whether the read can be repeated at another member if it fails; true if omitted. */
  canRepeat?: boolean;
  /** Whether to include members that are avoided for a moment, because they were busy or lagged. */
  includesAvoided?: boolean;
}

/** Selects members that can run a read. */
export interface ReadCandidates {
  /** Returns the members that can run a read, best first. */
  rank: (request: StatementRequest, options?: RankOptions) => ReadCandidate[];
  /** Returns the members that can run a read, including those avoided for a moment. */
  listQueues: (request: StatementRequest) => MemberQueue[];
  /** Whether some member is expected to run the read without delay. */
  hasIdle: (request: StatementRequest, options?: RankOptions) => boolean;
  /** Whether a position is known from which replicas can serve the read. */
  hasPosition: (request: StatementRequest) => boolean;
}

/** Subtracted from the permitted staleness for network latency and clock drift. */
export const STALENESS_MARGIN_MILLISECONDS = 60;

export function createReadCandidates(
  context: GroupContext,
  verifier: PrimaryVerifier,
): ReadCandidates {
  const { primaryTracker, clock, evidence, failureEjection, leavingPolicy, members } = context;
  const { isMechanismEnabled } = context;

  function rank(
    request: StatementRequest,
    { excludedMembers, failedMember, canRepeat = true, includesAvoided }: RankOptions = {},
  ): ReadCandidate[] {
    const now = clock.now();
    const primary = primaryTracker.find();
    const required = findRequiredLog(request);
    const ownCommit = findOwnCommit(request);
    const candidates = listEligible(primary, required)
      .filter((member) => member !== failedMember)
      .map((member) => ({
        memberId: member.entry.memberId,
        member,
        isPrimary: member === primary,
        confirmedTerm: primaryTracker.getConfirmedTerm(member.entry.memberId),
        after: (required ?? ownCommit)?.position,
        latency: member.latency.getCurrent(now),
        hasExclusiveStatements: member === primary && isMechanismEnabled('reservedPrimary'),
        load: member.admission.countStatements(),
        capacity: member.admission.calculateCapacity(),
        delay: estimateDelay(member, request),
        status: failureEjection.getStatus(member, canRepeat),
        ...estimateWait(member, member === primary ? undefined : required, now),
      }));
    const isPresent = ({ member }: ReadCandidate) =>
      member.avoidUntil <= now || (includesAvoided && !isUnreachable(member));
    return orderMembersForRead(
      leaveOutEjected(candidates, request.deadlineAt - now)
        .filter(({ member }) => !excludedMembers?.has(member))
        .filter(isPresent),
    );
  }

  /**
   * Leaves ejected members out if another member can run the read. A replica that is full for the
   * moment can, but a primary without room cannot: writes have no other place to go.
   */
  function leaveOutEjected<Candidate extends ReadCandidate>(
    candidates: Candidate[],
    timeLeft: number,
  ): Candidate[] {
    const others = candidates.filter(({ status }) => status !== 'ejected');
    if (others.length === candidates.length) return candidates;
    const canRunElsewhere = others.some(
      ({ member, isPrimary, wait }) =>
        wait <= timeLeft && (isPrimary ? member.admission.hasRoom() : !isUnreachable(member)),
    );
    return canRunElsewhere ? others : candidates;
  }

  /** Whether the member is avoided because of lost connections, and not just because it is busy. */
  function isUnreachable({ avoidUntil, failures }: Member): boolean {
    return failures > 0 && avoidUntil > clock.now();
  }

  function listEligible(primary: Member | undefined, required: RequiredPosition | undefined) {
    return [...members.values()]
      .filter((member) => (member === primary ? !verifier.isStalled() : required !== undefined))
      .filter(
        (member) => !isUnavailableReplica(member, primary) && leavingPolicy.canAccept(member),
      );
  }

  function listQueues(request: StatementRequest): MemberQueue[] {
    const primary = primaryTracker.find();
    const required = findRequiredLog(request);
    const eligible = listEligible(primary, required);
    const healthy = eligible.filter(
      (member) => failureEjection.getStatus(member, true) !== 'ejected',
    );
    return (healthy.length > 0 ? healthy : eligible).map((member) => ({
      member,
      lagWait: estimateWait(member, member === primary ? undefined : required, clock.now()).wait,
    }));
  }

  function estimateDelay({ pool }: Member, { team }: StatementRequest): number {
    if (!isMechanismEnabled('readingWhereConnected')) return pool.estimateDelay();
    return pool.estimateOwnerDelay(team);
  }

  function isUnavailableReplica(member: Member, primary: Member | undefined): boolean {
    if (member.missingSince !== undefined) return true;
    return member.entry.isLeaving && member !== primary;
  }

  /** Returns the log that the read requires, or undefined if only the primary can serve it. */
  function findRequiredLog(request: StatementRequest): RequiredPosition | undefined {
    const { route, arrivalStamp } = request;
    if (route.consistency === 'primary') return undefined;
    const maximumAge = route.maximumStaleness - STALENESS_MARGIN_MILLISECONDS;
    const floor = evidence.findFloor({ now: arrivalStamp.readings, maximumAge });
    if (!floor) return undefined;
    const ownCommit = findOwnCommit(request);
    if (ownCommit && !isAtMost(ownCommit.position, floor.position)) return ownCommit;
    return { position: floor.position, seenAt: floor.requestedAt.monotonic };
  }

  /**
   * Estimates the time until a member has applied the required log. Waiting for lagging replicas
   * prevents an overload of the primary, which alone has no slots for all reads while every replica
   * lags beyond the permitted staleness.
   */
  function estimateWait(
    { lag }: Member,
    required: RequiredPosition | undefined,
    now: number,
  ): Pick<ReadCandidate, 'wait' | 'isTrialRead'> {
    const wait = lag.estimateTimeUntilApplied(required, now);
    const isTrialRead = wait > 0 && lag.canTryRead(now) && isMechanismEnabled('trialReads');
    return { wait: isTrialRead ? 0 : wait, isTrialRead };
  }

  const hasIdle = (request: StatementRequest, options?: RankOptions) =>
    rank(request, options).some(
      ({ member, wait, delay }) => wait === 0 && delay === 0 && member.admission.hasRoom(),
    );

  return {
    rank,
    listQueues,
    hasIdle,
    hasPosition: (request) => findRequiredLog(request) !== undefined,
  };
}
