import { comparePositions } from '@wisterialift/schema';
import type { Database, MemberStatus, Position } from '@wisterialift/schema';

/** Weight of a new round trip in the smoothed one. */
const ROUND_TRIP_SMOOTHING = 0.25;

/** What the engine knows about one database of its group. @internal */
export interface Member {
  name: string;
  database: Database;
  /** Answer to the newest question that the member answered. */
  status: MemberStatus | undefined;
  /** Identifier and time of that question; -1 before the first answer. */
  statusQuestionId: number;
  statusAskedAt: number;
  /**
   * When the newest answered question was asked. The answer itself may have waited for this instance
   * to be unfrozen, so its arrival says nothing about when the member was there.
   */
  answeredAt: number | undefined;
  /** Smoothed time from a question to its answer, in milliseconds. */
  roundTrip: number;
  /** Silence is counted from here: the last answer, the first question, or the end of a pause. */
  silentSince: number;
  /** Questions in a row that failed since the last answer. */
  failedQuestions: number;
  /** Those of them that failed because nothing listens at the member's address. */
  unreachableQuestions: number;
  /** When the end of its log last moved. */
  logAdvancedAt: number;
  /** No statement is sent before this time; set by refused connections. */
  avoidUntil: number;
  /** Its word that it is primary counts only in answers from this question on. */
  trustedFromQuestionId: number;
  /** Newest sample (time on the engine's clock) whose position the member has applied. */
  freshAsOf: number;
  nextFollowAt: number;
}

/** The members of the group by name, with the facts that need a majority. @internal */
export interface MemberTable {
  list: () => readonly Member[];
  get: (name: string) => Member | undefined;
  /** Members that make a majority of the group. */
  majority: () => number;
  replaceDatabases: (databases: Database[], now: number) => void;
  onAnswered: (answer: Answer) => Member | undefined;
  onFailed: (failure: Failure) => void;
  /** Starts every silence anew, because the instance itself was not looking. */
  restartSilences: (now: number) => void;
  /** The highest term that a majority has recorded; undefined before a majority answered. */
  knownTerm: () => number | undefined;
  /** The primary of that term or a higher one, by its own word. */
  primary: () => Member | undefined;
  highestTerm: () => number;
  /** The member's word that it is primary counts only in answers from this question on. */
  distrust: (name: string, fromQuestionId: number) => void;
}

/** @internal */
export interface Answer {
  member: string;
  status: MemberStatus;
  questionId: number;
  askedAt: number;
  now: number;
}

/** @internal */
export interface Failure {
  member: string;
  askedAt: number;
  reason: 'timeout' | 'unreachable';
}

/**
 * Creates the table of what is known about the members of a group.
 *
 * Answers that were overtaken by the answer to a newer question are dropped, so that a crossed
 * answer never takes a member's log end or term back.
 *
 * @internal
 */
export function createMemberTable(databases: Database[]): MemberTable {
  let members: Member[] = databases.map((database) => createMember(database, 0));
  let byName = indexByName(members);
  let knownTerm: number | undefined;
  let primary: Member | undefined;

  function replaceDatabases(changed: Database[], now: number): void {
    members = changed.map((database) => {
      const known = byName.get(database.name);
      if (!known) return createMember(database, now);
      known.database = database;
      return known;
    });
    byName = indexByName(members);
    refreshPrimary();
  }

  function onAnswered({ member: name, status, questionId, askedAt, now }: Answer) {
    const member = byName.get(name);
    if (!member) return undefined;
    member.roundTrip += (now - askedAt - member.roundTrip) * ROUND_TRIP_SMOOTHING;
    member.answeredAt = Math.max(member.answeredAt ?? askedAt, askedAt);
    member.silentSince = Math.max(member.silentSince, askedAt);
    member.failedQuestions = 0;
    member.unreachableQuestions = 0;
    if (questionId < member.statusQuestionId) return member;
    if (!member.status || comparePositions(member.status.logEnd, status.logEnd) !== 0) {
      member.logAdvancedAt = now;
    }
    const wasTrusted = member.statusQuestionId >= member.trustedFromQuestionId;
    const isSameTerm = member.status?.currentTerm === status.currentTerm;
    const isSameRole = member.status?.role === status.role;
    member.status = status;
    member.statusQuestionId = questionId;
    member.statusAskedAt = askedAt;
    if (!wasTrusted || !isSameTerm || !isSameRole) refreshPrimary();
    return member;
  }

  /**
   * Only questions asked since the member was last heard count: a lost answer that was overtaken by
   * a later one, or that was due while the instance was paused, says nothing about the member.
   */
  function onFailed({ member: name, askedAt, reason }: Failure): void {
    const member = byName.get(name);
    if (!member || askedAt < member.silentSince) return;
    member.failedQuestions += 1;
    member.unreachableQuestions = reason === 'unreachable' ? member.unreachableQuestions + 1 : 0;
  }

  function restartSilences(now: number): void {
    const fresh = {
      silentSince: now,
      failedQuestions: 0,
      unreachableQuestions: 0,
      logAdvancedAt: now,
    };
    members.forEach((member) => Object.assign(member, fresh));
  }

  function majority(): number {
    return Math.floor(members.length / 2) + 1;
  }

  function findKnownTerm(): number | undefined {
    const terms = members.flatMap(({ status }) => (status ? [status.currentTerm] : []));
    terms.sort((left, right) => right - left);
    return terms[majority() - 1];
  }

  function findPrimary(): Member | undefined {
    const floor = knownTerm ?? 0;
    let best: Member | undefined;
    members.forEach((member) => {
      if (member.status?.role !== 'primary' || member.status.currentTerm < floor) return;
      if (member.statusQuestionId < member.trustedFromQuestionId) return;
      if (!best || member.status.currentTerm > termOf(best)) best = member;
    });
    return best;
  }

  /** Worked out when an answer changes it, since every statement asks for it. */
  function refreshPrimary(): void {
    knownTerm = findKnownTerm();
    primary = findPrimary();
  }

  function distrust(name: string, fromQuestionId: number): void {
    const member = byName.get(name);
    if (!member) return;
    member.trustedFromQuestionId = fromQuestionId;
    refreshPrimary();
  }

  function highestTerm(): number {
    return Math.max(0, ...members.map(termOf));
  }

  return {
    list: () => members,
    get: (name) => byName.get(name),
    majority,
    replaceDatabases,
    onAnswered,
    onFailed,
    restartSilences,
    knownTerm: () => knownTerm,
    primary: () => primary,
    distrust,
    highestTerm,
  };
}

/** Term that the member last reported; 0 before its first answer. @internal */
export function termOf(member: Member): number {
  return member.status?.currentTerm ?? 0;
}

/** Whether the member answered within `withinMilliseconds`. @internal */
export function hasAnswered(member: Member, withinMilliseconds: number, now: number): boolean {
  return member.answeredAt !== undefined && now - member.answeredAt <= withinMilliseconds;
}

/**
 * The lowest position that contains every acknowledged write, from answers of at least a majority.
 *
 * An acknowledged write is held by a majority, so the highest log end of any majority contains it.
 * Of all majorities among the answers the one with the lowest log ends gives the lowest bound.
 *
 * @returns undefined while fewer than `majority` answers are there.
 * @internal
 */
export function lowestMajorityEnd(logEnds: Position[], majority: number): Position | undefined {
  if (logEnds.length < majority) return undefined;
  return [...logEnds].sort(comparePositions)[majority - 1];
}

function indexByName(members: Member[]): Map<string, Member> {
  return new Map(members.map((member) => [member.name, member]));
}

function createMember(database: Database, now: number): Member {
  return {
    name: database.name,
    database,
    status: undefined,
    statusQuestionId: -1,
    statusAskedAt: Number.NEGATIVE_INFINITY,
    answeredAt: undefined,
    roundTrip: 0,
    silentSince: now,
    failedQuestions: 0,
    unreachableQuestions: 0,
    logAdvancedAt: now,
    avoidUntil: 0,
    trustedFromQuestionId: 0,
    freshAsOf: Number.NEGATIVE_INFINITY,
    nextFollowAt: 0,
  };
}
