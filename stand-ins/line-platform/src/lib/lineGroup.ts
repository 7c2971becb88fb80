/** One committed write. */
export interface LogEntry {
  term: number;
  index: number;
  item: string;
  value: string;
}

/** Faults that a test switches on at a member. */
export interface MemberFaults {
  /** Statements with this text are answered BUSY this many times. */
  busyAnswers: number;
  /** Answers to writes and commits that are run and then not sent. */
  lostAnswers: number;
  /** Receives nothing from the primary. */
  isDeaf: boolean;
  /** Milliseconds between receiving and applying. */
  applyDelay: number;
  /** Milliseconds that a read or a write takes. */
  workTime: number;
  /** Starts no statement that reads or writes. */
  isHolding: boolean;
  /** Refuses new connections because there are too many. */
  isFull: boolean;
  /** Takes connections, reads nothing from them and answers nothing. */
  isSilent: boolean;
}

/** State of one database of a group. */
export interface LineMember {
  id: string;
  role: 'primary' | 'replica';
  term: number;
  heldTerm: number;
  log: LogEntry[];
  applied: number;
  isUp: boolean;
  faults: MemberFaults;
}

/** A primary and its replicas with asynchronous replication, in one process. */
export interface LineGroup {
  name: string;
  members: Map<string, LineMember>;
  /** Appends writes at a primary and sends them to the replicas. */
  commit: (member: LineMember, writes: { item: string; value: string }[]) => void;
  /** Makes a replica the primary of the next term after the group's promotion time. */
  promote: (id: string) => boolean;
  pause: (member: LineMember, term: number) => void;
  demote: (member: LineMember, term: number) => void;
  /**
   * Starts a member that is down again under another id, with its log. It leads again unless another
   * member was promoted meanwhile.
   */
  restartAs: (id: string, nextId: string) => LineMember;
  onRoleChange: (listener: (member: LineMember) => void) => void;
}

export interface LineGroupOptions {
  name: string;
  ids: string[];
  /** Milliseconds for a promotion to take effect. */
  promoteTime?: number;
  applyDelay?: number;
}

/** @public */
export const NO_FAULTS: MemberFaults = {
  busyAnswers: 0,
  lostAnswers: 0,
  isDeaf: false,
  applyDelay: 5,
  workTime: 1,
  isHolding: false,
  isFull: false,
  isSilent: false,
};

export function createLineGroup(options: LineGroupOptions): LineGroup {
  const { name, ids, promoteTime = 100, applyDelay = NO_FAULTS.applyDelay } = options;
  const listeners: ((member: LineMember) => void)[] = [];
  const members = new Map(
    ids.map((id, index): [string, LineMember] => [
      id,
      {
        id,
        role: index === 0 ? 'primary' : 'replica',
        term: 1,
        heldTerm: 0,
        log: [{ term: 1, index: 1, item: 'first', value: 'first' }],
        applied: 1,
        isUp: true,
        faults: { ...NO_FAULTS, applyDelay },
      },
    ]),
  );

  const canReceive = (member: LineMember, primary: LineMember) =>
    member !== primary &&
    member.isUp &&
    !member.faults.isDeaf &&
    member.heldTerm === 0 &&
    member.role === 'replica' &&
    member.term <= primary.term;

  /** Copies the primary's log whole; entries that it does not have are rolled back. */
  function replicate(primary: LineMember): void {
    for (const member of members.values()) {
      if (!canReceive(member, primary)) continue;
      const isRolledBack = member.log.some((entry, at) => primary.log[at]?.term !== entry.term);
      Object.assign(member, { term: primary.term, log: [...primary.log] });
      if (isRolledBack) member.applied = Math.min(member.applied, primary.log.length);
      const { length } = member.log;
      setTimeout(() => {
        member.applied = Math.max(member.applied, Math.min(length, member.log.length));
      }, member.faults.applyDelay);
    }
  }

  /** Returns the primary of the highest term that is up. */
  const findLeader = () =>
    [...members.values()]
      .filter(({ role, isUp }) => role === 'primary' && isUp)
      .sort((left, right) => right.term - left.term)[0];

  function changeRole(member: LineMember, role: LineMember['role'], term: number): void {
    Object.assign(member, { role, term, heldTerm: 0 });
    if (role === 'primary') Object.assign(member, { applied: member.log.length });
    for (const listener of listeners) listener(member);
  }

  return {
    name,
    members,
    commit: (member, writes) => {
      for (const { item, value } of writes) {
        member.log.push({ term: member.term, index: member.log.length + 1, item, value });
      }
      Object.assign(member, { applied: member.log.length });
      replicate(member);
    },
    promote: (id) => {
      const member = members.get(id);
      if (!member?.isUp) return false;
      if (member.role === 'primary') return true;
      const term = Math.max(...[...members.values()].map((other) => other.term)) + 1;
      setTimeout(() => {
        changeRole(member, 'primary', term);
        for (const other of members.values()) {
          if (other !== member && other.role === 'replica') other.heldTerm = 0;
        }
        replicate(member);
      }, promoteTime);
      return true;
    },
    pause: (member, term) => {
      if (member.role === 'replica' && term > member.term) {
        Object.assign(member, { heldTerm: term });
      }
    },
    demote: (member, term) => {
      if (member.role !== 'primary' || member.term >= term) return;
      changeRole(member, 'replica', member.term);
      const leader = [...members.values()].find(({ role }) => role === 'primary');
      if (leader) replicate(leader);
    },
    restartAs: (id, nextId) => {
      const former = members.get(id)!;
      members.delete(id);
      const role = former.role === 'primary' && !findLeader() ? 'primary' : 'replica';
      const faults = { ...NO_FAULTS, applyDelay };
      const member = { ...former, id: nextId, role, heldTerm: 0, isUp: true, faults } as const;
      members.set(nextId, member);
      const leader = findLeader();
      if (leader) replicate(leader);
      return member;
    },
    onRoleChange: (listener) => listeners.push(listener),
  };
}

/** Log position as the protocol writes it. */
export function positionText(log: LogEntry[], length = log.length): string {
  const last = log[length - 1];
  return last ? `${last.term}.${last.index}` : '0.0';
}
