import { INITIAL_POSITION, comparePositions, isAtMost } from '@wisterialift/schema';
import type { Database, MemberStatus, Position } from '@wisterialift/schema';
import { getMemberSet } from './memberSet';
import { findNewestVoters, isVoter } from './voters';
import type { VoteCount } from './voters';

/** Weight of a new sample in the moving average of the round-trip time. */
const ROUND_TRIP_SMOOTHING = 0.25;

/** State of one database of the group as seen by this instance. @internal */
export interface Member {
  name: string;
  database: Database;
  /** Response to the newest answered status request. */
  status: MemberStatus | undefined;
  /** Identifier of that request; -1 before the first response. */
  statusControlRequestId: number;
  /** Send time of that request on the age clock. */
  statusRequestedAt: number;
  /**
   * Send time of the newest answered request. The arrival time is unreliable, since a response can
   * wait while this process is paused.
   */
  newestAnsweredRequestSentAt: number | undefined;
  smoothedRoundTripMilliseconds: number;
  /**
   * Start of the current silence: when the last answered request was sent, or when the member was
   * added or failure detection restarted.
   */
  silentSince: number;
  /** Consecutive failed requests since the start of the current silence. */
  consecutiveFailures: number;
  /** Consecutive failed requests whose connection was refused. */
  consecutiveUnreachable: number;
  /** When its log end last changed. */
  logAdvancedAt: number;
  /** No statements are sent before this time, set after a refused connection. */
  avoidUntil: number;
  /** Responses to requests before this one cannot identify the member as primary. */
  primaryClaimValidFromRequestId: number;
  /** Time on the age clock of the newest staleness sample whose position the member has applied. */
  freshAsOf: number;
  nextFollowAt: number;
  /** The status that later ones are compared with, and when it arrived. */
  reference: { status: MemberStatus; answeredAt: number } | undefined;
  /** Set after it answered without the log or the term that it had; undefined once it has caught up. */
  lostLog: LostLog | undefined;
}

/** A member that has lost its log, and with it writes that it confirmed. @internal */
export interface LostLog {
  /** The request whose answer showed the loss. */
  controlRequestId: number;
  /** Log end of the primary at a later request; the member counts again from there. */
  recoveredAt: Position | undefined;
}

/** The members of the group by name, with state derived from a majority of them. @internal */
export interface MemberTable {
  list: () => readonly Member[];
  get: (name: string) => Member | undefined;
  /** Number of members that form a majority. */
  getMajority: () => number;
  /**
   * Replaces the list of databases.
   *
   * @param memberSet - number of the list; it grows with each change of the members.
   * @returns whether the members have changed, and not only settings of theirs.
   */
  replaceDatabases: (databases: Database[], memberSet: number, now: number) => boolean;
  /** Number of the list of databases in use. */
  getMemberSet: () => number;
  /**
   * Whether the member's newest answer counts towards a majority. One in a term of a later member set
   * does not: this instance cannot know which members that set has. Neither does one of a member that
   * has lost its log, as long as the others can be a majority.
   */
  isCounted: (member: Member) => boolean;
  /**
   * Counts answers by the newest voters in their logs: an incarnation that these do not name has no vote. All
   * count as long as no entry is known that names voters.
   */
  countVotes: (statuses: readonly MemberStatus[]) => VoteCount;
  /**
   * Counts the answers that are counted; where too few voters are left, all members together are a majority.
   * Nobody else holds anything, so the most advanced of them has all that is left.
   */
  countVotesOrAll: (statuses: readonly MemberStatus[]) => VoteCount;
  /** Whether any member has recorded a term of a later member set than the one in use. */
  isOutdated: () => boolean;
  onAnswered: (answer: StatusAnswer) => Member | undefined;
  onFailed: (failure: ControlRequestFailure) => void;
  /** Restarts failure detection for every member, after a pause of this process. */
  resetSilences: (now: number) => void;
  /** Highest term recorded by a majority; undefined before a majority has responded. */
  getMajorityTerm: () => number | undefined;
  /**
   * The member that reports itself as primary of the highest term; undefined if that term is below
   * the one recorded by a majority.
   */
  getPrimary: () => Member | undefined;
  /**
   * The primary once the logs of a majority end in its term. Until then a later promotion can still
   * start from another log.
   *
   * @param afterRequestId - only answers to later requests count; by default any.
   */
  findEstablishedPrimary: (afterRequestId?: number) => MemberStatus | undefined;
  /** The answers of members whose logs end in the term of the primary, at or after the position. */
  listReaching: (position: Position) => MemberStatus[];
  getHighestTerm: () => number;
  /** Ignores the member's claim to be primary in responses to requests before `firstValidRequestId`. */
  rejectPrimaryClaimBefore: (name: string, firstValidRequestId: number) => void;
}

/** @internal */
export interface StatusAnswer {
  member: string;
  status: MemberStatus;
  questionId: number;
  sentAt: number;
  /** Send time on the age clock; without it, the answer bounds no age. */
  askedAt?: number;
  now: number;
}

/** @internal */
export interface ControlRequestFailure {
  member: string;
  sentAt: number;
  reason: 'timeout' | 'unreachable';
}

/**
 * Creates the table of member state.
 *
 * Out-of-order responses count as signs of life, but their status is ignored so that log end and
 * term never decrease.
 *
 * @internal
 */
export function createMemberTable(databases: Database[], initialMemberSet = 0): MemberTable {
  let memberSet = initialMemberSet;
  let members: Member[] = databases.map((database) => createMember(database, 0));
  let byName = indexByName(members);
  let majorityTerm: number | undefined;
  let primary: Member | undefined;
  let isListOutdated = false;
  let hasLostLogs = false;
  let hasSeenVoters = false;

  /** A database at another address is another member until it answers. */
  function replaceDatabases(changed: Database[], changedSet: number, now: number): boolean {
    const former = members;
    members = changed.map((database) => {
      const known = byName.get(database.name);
      if (!known || !isSameAddress(known.database, database)) return createMember(database, now);
      known.database = database;
      return known;
    });
    const hasChanged =
      changedSet !== memberSet ||
      members.length !== former.length ||
      members.some((member) => !former.includes(member));
    memberSet = changedSet;
    byName = indexByName(members);
    refreshPrimary();
    return hasChanged;
  }

  function isCounted({ status, lostLog }: Member): boolean {
    if (!status || getMemberSet(status.currentTerm) > memberSet) return false;
    return !lostLog || members.filter((member) => !member.lostLog).length < getMajority();
  }

  /** Answers to requests that were open at the same time may have been given in either order. */
  function compareWithReference(
    member: Member,
    { status, questionId, sentAt, now }: StatusAnswer,
  ): void {
    const { reference } = member;
    // Whichever of the two answered last, the member has no longer what the other one had.
    if (member.status && member.status.incarnation !== status.incarnation) {
      onLogLost(member, questionId);
      Object.assign(member, { reference: { status, answeredAt: now } });
      return;
    }
    const isOrdered = !reference || sentAt > reference.answeredAt;
    if (isOrdered && reference && isLogLost(reference.status, status)) {
      onLogLost(member, questionId);
    }
    // An answer that crossed the reference counts, so that later ones must not be below it.
    if (isOrdered || comparePositions(status.logEnd, reference.status.logEnd) >= 0) {
      Object.assign(member, { reference: { status, answeredAt: now } });
    }
  }

  function onLogLost(member: Member, controlRequestId: number): void {
    Object.assign(member, {
      freshAsOf: Number.NEGATIVE_INFINITY,
      lostLog: { controlRequestId, recoveredAt: undefined },
    });
    hasLostLogs = true;
  }

  /** Counts a member again once it holds what a majority of the others held after the loss was seen. */
  function updateLostLogs(): void {
    members.forEach((member) => {
      if (member.lostLog) updateLostLog(member, member.lostLog);
    });
    hasLostLogs = members.some(({ lostLog }) => lostLog);
  }

  function updateLostLog(member: Member, lostLog: LostLog): void {
    const recoveredAt =
      lostLog.recoveredAt ?? findEstablishedPrimary(lostLog.controlRequestId)?.logEnd;
    const hasRecovered =
      recoveredAt && member.status && comparePositions(member.status.logEnd, recoveredAt) >= 0;
    Object.assign(member, { lostLog: hasRecovered ? undefined : { ...lostLog, recoveredAt } });
  }

  function findEstablishedPrimary(afterRequestId = -1): MemberStatus | undefined {
    const status = primary?.status;
    if (!primary || !status) return undefined;
    if (primary.statusControlRequestId <= afterRequestId) return undefined;
    const recent = members.filter(
      (member) => isCounted(member) && member.statusControlRequestId > afterRequestId,
    );
    return countVotes(listInTerm(recent, status)).isMajority ? status : undefined;
  }

  /** The members whose logs end in the term of the primary. */
  function listInTerm(list: readonly Member[], { currentTerm }: MemberStatus): MemberStatus[] {
    return list.flatMap(({ status }) => {
      const isInTerm = status?.currentTerm === currentTerm && status.logEnd.term === currentTerm;
      return isInTerm ? [status] : [];
    });
  }

  function listReaching(position: Position): MemberStatus[] {
    if (!primary?.status) return [];
    return listInTerm(members, primary.status).filter(({ logEnd }) => isAtMost(position, logEnd));
  }

  function countVotes(statuses: readonly MemberStatus[]): VoteCount {
    const voters = findNewestVoters(statuses);
    const named = members.filter(({ name }) => !voters || name in voters.incarnations);
    const majority = toMajority(named.length);
    const counted = statuses.filter((status) =>
      voters ? isVoter(status, voters) : !hasSeenVoters,
    );
    return {
      isMajority: statuses.length >= getMajority() && counted.length >= majority,
      statuses: counted,
      majority,
      votersAt: voters?.position ?? INITIAL_POSITION,
    };
  }

  function countVotesOrAll(statuses: readonly MemberStatus[]): VoteCount {
    const votes = countVotes(
      statuses.filter(({ member: name }) => {
        const member = byName.get(name);
        return member && isCounted(member);
      }),
    );
    if (votes.isMajority || isListOutdated || statuses.length < members.length) return votes;
    const all = { isMajority: true, statuses: [...statuses], majority: statuses.length };
    return { ...votes, ...all };
  }

  function onAnswered(answer: StatusAnswer) {
    const { member: name, status, questionId, sentAt, now } = answer;
    const member = byName.get(name);
    if (!member) return undefined;
    member.smoothedRoundTripMilliseconds +=
      (now - sentAt - member.smoothedRoundTripMilliseconds) * ROUND_TRIP_SMOOTHING;
    member.newestAnsweredRequestSentAt = Math.max(
      member.newestAnsweredRequestSentAt ?? sentAt,
      sentAt,
    );
    member.silentSince = Math.max(member.silentSince, sentAt);
    member.consecutiveFailures = 0;
    member.consecutiveUnreachable = 0;
    if (questionId < member.statusControlRequestId) return member;
    if (!member.status || comparePositions(member.status.logEnd, status.logEnd) !== 0) {
      member.logAdvancedAt = now;
    }
    compareWithReference(member, answer);
    const wasPrimaryClaimValid =
      member.statusControlRequestId >= member.primaryClaimValidFromRequestId;
    const isSameTerm = member.status?.currentTerm === status.currentTerm;
    const isSameRole = member.status?.role === status.role;
    member.status = status;
    hasSeenVoters ||= status.voters !== undefined && status.voters.position.index > 0;
    member.statusControlRequestId = questionId;
    member.statusRequestedAt = answer.askedAt ?? Number.NEGATIVE_INFINITY;
    if (!wasPrimaryClaimValid || !isSameTerm || !isSameRole) refreshPrimary();
    if (hasLostLogs) updateLostLogs();
    return member;
  }

  /**
   * Counts only requests sent since the start of the current silence: older ones were overtaken by
   * a response or by a pause of this process.
   */
  function onFailed({ member: name, sentAt, reason }: ControlRequestFailure): void {
    const member = byName.get(name);
    if (!member || sentAt < member.silentSince) return;
    member.consecutiveFailures += 1;
    member.consecutiveUnreachable =
      reason === 'unreachable' ? member.consecutiveUnreachable + 1 : 0;
  }

  function resetSilences(now: number): void {
    const fresh = {
      silentSince: now,
      consecutiveFailures: 0,
      consecutiveUnreachable: 0,
      logAdvancedAt: now,
    };
    members.forEach((member) => Object.assign(member, fresh));
  }

  function getMajority(): number {
    return toMajority(members.length);
  }

  function findMajorityTerm(): number | undefined {
    const terms = members.flatMap(({ status }) => (status ? [status.currentTerm] : []));
    terms.sort((left, right) => right - left);
    return terms[getMajority() - 1];
  }

  function findPrimary(): Member | undefined {
    const floor = majorityTerm ?? 0;
    let best: Member | undefined;
    members.forEach((member) => {
      if (member.status?.role !== 'primary' || member.status.currentTerm < floor) return;
      if (member.statusControlRequestId < member.primaryClaimValidFromRequestId) return;
      if (!best || member.status.currentTerm > getTerm(best)) best = member;
    });
    return best;
  }

  /** Recalculates the cached primary and majority term, which every statement reads. */
  function refreshPrimary(): void {
    majorityTerm = findMajorityTerm();
    primary = findPrimary();
    isListOutdated = getMemberSet(getHighestTerm()) > memberSet;
  }

  function rejectPrimaryClaimBefore(name: string, firstValidRequestId: number): void {
    const member = byName.get(name);
    if (!member) return;
    member.primaryClaimValidFromRequestId = firstValidRequestId;
    refreshPrimary();
  }

  function getHighestTerm(): number {
    return Math.max(0, ...members.map(getTerm));
  }

  return {
    list: () => members,
    get: (name) => byName.get(name),
    getMajority,
    replaceDatabases,
    getMemberSet: () => memberSet,
    isCounted,
    countVotes,
    countVotesOrAll,
    isOutdated: () => isListOutdated,
    onAnswered,
    onFailed,
    resetSilences,
    getMajorityTerm: () => majorityTerm,
    getPrimary: () => primary,
    findEstablishedPrimary,
    listReaching,
    rejectPrimaryClaimBefore,
    getHighestTerm,
  };
}

/** Term that the member last reported; 0 before its first response. @internal */
export function getTerm(member: Member): number {
  return member.status?.currentTerm ?? 0;
}

/** Whether a request sent within the last `withinMilliseconds` was answered. @internal */
export function hasRespondedWithin(
  member: Member,
  withinMilliseconds: number,
  now: number,
): boolean {
  return (
    member.newestAnsweredRequestSentAt !== undefined &&
    now - member.newestAnsweredRequestSentAt <= withinMilliseconds
  );
}

/** A member keeps its terms, and drops entries only for those of a later term. */
function isLogLost(former: MemberStatus, status: MemberStatus): boolean {
  const { currentTerm, logEnd } = former;
  if (status.currentTerm < currentTerm) return true;
  if (status.logEnd.index === 0 && logEnd.index > 0) return true;
  const isSameTerm = status.currentTerm === currentTerm && logEnd.term === currentTerm;
  return isSameTerm && comparePositions(status.logEnd, logEnd) < 0;
}

function toMajority(count: number): number {
  return Math.floor(count / 2) + 1;
}

function isSameAddress(left: Database, right: Database): boolean {
  return left.host === right.host && left.port === right.port;
}

function indexByName(members: Member[]): Map<string, Member> {
  return new Map(members.map((member) => [member.name, member]));
}

function createMember(database: Database, now: number): Member {
  return {
    name: database.name,
    database,
    status: undefined,
    statusControlRequestId: -1,
    statusRequestedAt: Number.NEGATIVE_INFINITY,
    newestAnsweredRequestSentAt: undefined,
    smoothedRoundTripMilliseconds: 0,
    silentSince: now,
    consecutiveFailures: 0,
    consecutiveUnreachable: 0,
    logAdvancedAt: now,
    avoidUntil: 0,
    primaryClaimValidFromRequestId: 0,
    freshAsOf: Number.NEGATIVE_INFINITY,
    nextFollowAt: 0,
    reference: undefined,
    lostLog: undefined,
  };
}
