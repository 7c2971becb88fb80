import { commonLength, endOf, positionAt } from '@wisterialift/fuzz';
import type { LogEntry, Random, Scheduler } from '@wisterialift/fuzz';
import { INITIAL_POSITION } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { createTermHistory } from './termHistory';
import type { TermHistory } from './termHistory';

/** Log and role of one database. @internal */
export interface LogState {
  memberId: string;
  role: 'primary' | 'replica';
  term: number;
  /** Term that a stop of the replica named; 0 while it receives. */
  stoppedFor: number;
  log: LogEntry[];
  /** Entries that its reads show. */
  applied: number;
  isUp: boolean;
}

/** How replicas follow, in milliseconds; changed by faults. @internal */
export interface ReplicationPace {
  /** Mean time between a commit and its application at the replica. */
  lag: number;
  /** Whether it receives nothing. */
  isDeaf: boolean;
}

/** @internal */
export interface MemberPartition {
  /** Whether it lies between two members. */
  isSeparated: (one: string, other: string) => boolean;
  /** Whether it separates a member from the platform, which carries the orders. */
  isOutOfPlatformReach: (memberId: string) => boolean;
}

/** A primary and replicas that follow it asynchronously. @internal */
export interface ReplicatedLog {
  members: Map<string, LogState>;
  history: TermHistory;
  /** Since when no fault holds the member's replication back; undefined while one does. */
  followsSince: (memberId: string) => number | undefined;
  setPace: (memberId: string, pace: Partial<ReplicationPace> | undefined) => void;
  /** Cuts the member off from the others, which it then neither sends to nor hears. */
  setCutOff: (memberId: string, isCutOff: boolean) => void;
  /** Begins a partition; undefined ends it. */
  setPartition: (partition: MemberPartition | undefined) => void;
  commit: (member: LogState, writes: readonly string[]) => Position;
  /** Whether so many replicas have received the commit as must have before it is answered. */
  isSynchronized: (member: LogState, position: Position) => boolean;
  /** Whether the write was committed at a primary while another member led a later term. */
  isCommittedBehind: (write: string) => boolean;
  /** Orders a promotion; it takes effect later. False where the member does not run. */
  promote: (memberId: string) => boolean;
  stop: (member: LogState, term: number) => void;
  resume: (member: LogState) => void;
  demote: (member: LogState, term: number) => void;
  /** The member runs again, with the log that it had. */
  restart: (memberId: string) => void;
  /** The member runs again and knows nothing of before. */
  restartEmpty: (memberId: string) => void;
  appliedPosition: (member: LogState) => Position;
  end: (member: LogState) => Position;
  onRoleChange: (listener: () => void) => void;
}

/** Time of a copy between two databases. */
const COPY_MILLISECONDS = 13;

/** A primary that was replaced learns it about a second after it reaches the new one. */
const STEP_DOWN_MILLISECONDS = 1_000;

/** Creates a group whose first member is the primary. @internal */
export function createReplicatedLog(options: {
  memberIds: string[];
  lag: number;
  promoteTime: number;
  synchronousReplicas?: number;
  scheduler: Scheduler;
  random: Random;
}): ReplicatedLog {
  const { memberIds, lag, promoteTime, scheduler, random } = options;
  const { synchronousReplicas = 0 } = options;
  const listeners: (() => void)[] = [];
  const paces = new Map<string, ReplicationPace>();
  const lastApplyAt = new Map<string, number>();
  const freeSince = new Map<string, number>();
  const cutOff = new Set<string>();
  const committedBehind = new Set<string>();
  let partition: MemberPartition | undefined;
  const history = createTermHistory();
  const first: LogEntry = { term: 1, index: 1, writes: [] };
  history.begin(first.term, INITIAL_POSITION);
  const members = new Map(
    memberIds.map((memberId, index): [string, LogState] => [
      memberId,
      {
        memberId,
        role: index === 0 ? 'primary' : 'replica',
        term: 1,
        stoppedFor: 0,
        log: [first],
        applied: 1,
        isUp: true,
      },
    ]),
  );

  const usualPace = (): ReplicationPace => ({ lag, isDeaf: false });
  const paceOf = (memberId: string) => paces.get(memberId) ?? usualPace();

  const canTalk = (one: LogState, other: LogState) =>
    !cutOff.has(one.memberId) &&
    !cutOff.has(other.memberId) &&
    !partition?.isSeparated(one.memberId, other.memberId) &&
    !partition?.isSeparated(other.memberId, one.memberId);

  /** A member that reaches neither the new primary nor the platform does not learn of a promotion. */
  const learnsOfPromotion = (member: LogState, leader: LogState) =>
    canTalk(member, leader) || !partition?.isOutOfPlatformReach(member.memberId);

  const canReceive = (member: LogState, primary: LogState) =>
    member !== primary &&
    canTalk(member, primary) &&
    member.isUp &&
    primary.isUp &&
    member.role === 'replica' &&
    member.stoppedFor === 0 &&
    !paceOf(member.memberId).isDeaf &&
    member.term <= primary.term;

  function replicate(primary: LogState): void {
    for (const member of members.values()) {
      scheduler.after(COPY_MILLISECONDS * (0.8 + 0.4 * random.next()), () =>
        receive(member, primary),
      );
    }
  }

  function receive(member: LogState, primary: LogState): void {
    if (!canReceive(member, primary)) return;
    const kept = commonLength(member.log, primary.log);
    const isRolledBack = kept < member.log.length;
    const applied = isRolledBack ? Math.min(member.applied, kept) : member.applied;
    Object.assign(member, { term: primary.term, applied });
    member.log.splice(kept, member.log.length, ...primary.log.slice(kept));
    applyLater(member);
  }

  /** Applies in order: an entry never before the one that came before it. */
  function applyLater(member: LogState): void {
    const entry = member.log.at(-1);
    const delay = random.exponential(paceOf(member.memberId).lag * 0.3);
    const usual = paceOf(member.memberId).lag * 0.7 + delay;
    const earliest = lastApplyAt.get(member.memberId) ?? 0;
    const at = Math.max(scheduler.now() + usual, earliest);
    lastApplyAt.set(member.memberId, at);
    scheduler.at(at, () => {
      if (!entry || member.log[entry.index - 1] !== entry) return;
      Object.assign(member, { applied: Math.max(member.applied, entry.index) });
    });
  }

  /** What a replica that falls no further behind has received is applied at the usual pace. */
  function catchUp(memberId: string): void {
    const member = members.get(memberId)!;
    lastApplyAt.delete(memberId);
    const primary = findPrimary();
    if (primary) receive(member, primary);
    if (member.role === 'replica') applyLater(member);
  }

  function findPrimary(): LogState | undefined {
    return [...members.values()]
      .filter(({ role, isUp }) => role === 'primary' && isUp)
      .sort((left, right) => right.term - left.term)[0];
  }

  function announce(): void {
    for (const listener of listeners) listener();
  }

  function lead(member: LogState): void {
    if (!member.isUp) return;
    const term = history.getNewestTerm() + 1;
    Object.assign(member, { role: 'primary', term, stoppedFor: 0 });
    history.begin(term, endOf(member.log));
    Object.assign(member, { applied: member.log.length });
    resumeFollowers(member);
    replicate(member);
    announce();
    scheduler.after(STEP_DOWN_MILLISECONDS, () => stepDown(member));
  }

  /** A promotion ends the stop of the replicas. */
  function resumeFollowers(leader: LogState): void {
    for (const member of members.values()) {
      const isFollower = member !== leader && member.role === 'replica';
      if (isFollower && learnsOfPromotion(member, leader)) member.stoppedFor = 0;
    }
  }

  function stepDown(leader: LogState): void {
    for (const member of members.values()) {
      const isFormer = member !== leader && member.role === 'primary' && member.isUp;
      if (isFormer && canTalk(member, leader) && leader.isUp && member.term < leader.term) {
        follow(member, leader);
      }
    }
  }

  function follow(member: LogState, leader: LogState | undefined): void {
    Object.assign(member, { role: 'replica', stoppedFor: 0 });
    if (leader) receive(member, leader);
    announce();
  }

  /** What was cut off follows the newest primary, and the others receive what they missed. */
  function rejoin(): void {
    const leader = findPrimary();
    if (!leader) return;
    for (const member of members.values()) {
      if (member.stoppedFor <= leader.term) member.stoppedFor = 0;
      receive(member, leader);
    }
    scheduler.after(STEP_DOWN_MILLISECONDS, () => stepDown(leader));
  }

  function startAgain(member: LogState): void {
    Object.assign(member, { isUp: true });
    const leader = findPrimary();
    const isBehind = leader && leader !== member && leader.term > member.term;
    if (isBehind && canTalk(member, leader)) follow(member, leader);
    else if (leader) receive(member, leader);
    announce();
  }

  return {
    members,
    history,
    followsSince: (memberId) => (paces.has(memberId) ? undefined : (freeSince.get(memberId) ?? 0)),
    setPace: (memberId, pace) => {
      if (pace) paces.set(memberId, { ...usualPace(), ...pace });
      else paces.delete(memberId);
      freeSince.set(memberId, scheduler.now());
      if (!pace) catchUp(memberId);
    },
    setCutOff: (memberId, isCutOff) => {
      if (isCutOff) cutOff.add(memberId);
      else cutOff.delete(memberId);
      if (!isCutOff) rejoin();
    },
    setPartition: (next) => {
      partition = next;
      if (!next) rejoin();
    },
    isSynchronized: (member, { term, index }) => {
      const receivers = [...members.values()].filter(
        (other) => other !== member && other.log[index - 1]?.term === term,
      );
      return receivers.length >= synchronousReplicas;
    },
    isCommittedBehind: (write) => committedBehind.has(write),
    commit: (member, writes) => {
      const isBehind = (findPrimary()?.term ?? 0) > member.term;
      if (isBehind) for (const write of writes) committedBehind.add(write);
      member.log.push({ term: member.term, index: member.log.length + 1, writes });
      Object.assign(member, { applied: member.log.length });
      replicate(member);
      return endOf(member.log);
    },
    promote: (memberId) => {
      const member = members.get(memberId);
      if (!member?.isUp) return false;
      if (member.role === 'replica') scheduler.after(promoteTime, () => lead(member));
      return true;
    },
    stop: (member, term) => {
      if (member.role !== 'replica' || term <= member.term) return;
      Object.assign(member, { stoppedFor: term });
    },
    resume: (member) => {
      Object.assign(member, { stoppedFor: 0 });
      catchUp(member.memberId);
    },
    demote: (member, term) => {
      if (member.role === 'primary' && member.term < term) follow(member, findPrimary());
    },
    restart: (memberId) => {
      const member = members.get(memberId)!;
      member.stoppedFor = 0;
      startAgain(member);
    },
    restartEmpty: (memberId) => {
      const member = members.get(memberId)!;
      Object.assign(member, { role: 'replica', term: 0, stoppedFor: 0, log: [], applied: 0 });
      startAgain(member);
    },
    appliedPosition: (member) => positionAt(member.log, member.applied),
    end: (member) => endOf(member.log),
    onRoleChange: (listener) => listeners.push(listener),
  };
}
