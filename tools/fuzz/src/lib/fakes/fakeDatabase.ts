import { comparePositions, type MemberStatus, type Position } from '@wisterialift/schema';
import { createMailbox, type Mailbox } from '../simulation/mailbox';
import type { Network } from '../simulation/network';
import type { Random } from '../simulation/random';
import type { Scheduler } from '../simulation/scheduler';
import {
  commonLength,
  endOf,
  positionAt,
  termStartsOf,
  votersOf,
  type LogEntry,
  type LogView,
} from './memberLog';

/** A statement of the group's control. @public */
export type ControlStatement =
  | { kind: 'status' }
  | { kind: 'fence'; term: number }
  | { kind: 'promote'; term: number }
  | { kind: 'follow'; term: number; primary: string }
  | { kind: 'nameVoters'; term: number; after: Position; voters: Record<string, string> };

/** A statement of a caller. @public */
export type CallerStatement =
  | { kind: 'read' }
  | { kind: 'write'; writes: readonly string[]; fails: boolean }
  | { kind: 'begin'; connection: string }
  | { kind: 'add'; connection: string; write: string }
  | { kind: 'commit'; connection: string }
  | { kind: 'close'; connection: string };

/** What a database says to a caller's statement. @public */
export type CallerReply =
  | { kind: 'rows'; view: LogView }
  | { kind: 'written'; entry: LogEntry }
  | { kind: 'ok' }
  | { kind: 'error' }
  | { kind: 'notPrimary' }
  | { kind: 'connectionLimit' }
  | { kind: 'unreachable' }
  | { kind: 'reset' };

/** How the next answers of a database are lost. @public */
export type AnswerLoss = 'beforeEffect' | 'afterEffect';

/** @public */
export interface FakeDatabase {
  name: string;
  mailbox: Mailbox;
  status: () => MemberStatus;
  log: () => readonly LogEntry[];
  isUp: () => boolean;
  isPrimary: () => boolean;
  /** Runs a control statement when it arrives; `undefined` is the refusal of its term. */
  control: (statement: ControlStatement, reply: (reply: ControlReply) => void) => void;
  execute: (statement: CallerStatement, reply: (reply: CallerReply) => void) => void;
  /** Starts as the primary of term 1, or following it. */
  attach: (primary: string) => void;
  /** Ends the process; log, term and role stay for the restart. */
  crash: () => void;
  restart: () => void;
  freeze: () => void;
  thaw: () => void;
  loseAnswers: (count: number, loss: AnswerLoss) => void;
  setReplicationLag: (milliseconds: number) => void;
  setRefusesConnections: (refuses: boolean) => void;
}

/** @public */
export type ControlReply = { status: MemberStatus } | { refused: 'staleTerm' | 'unreachable' };

/** @public */
export interface FakeDatabaseOptions {
  name: string;
  scheduler: Scheduler;
  network: Network;
  random: Random;
  /** Finds the members of the group, this one included. */
  findMember: (name: string) => FakeDatabase;
  onExecuted: (entry: LogEntry, member: string) => void;
}

const PULL_MILLISECONDS = 4;
const LOST_PULL_MILLISECONDS = 100;
const SLOWEST_SERVICE_MILLISECONDS = 4;

/**
 * Creates one database of a group that keeps the group contract: strict fencing, promotion with an
 * entry of its own, following with truncation of what differs, asynchronous replication.
 *
 * @public
 */
export function createFakeDatabase(options: FakeDatabaseOptions): FakeDatabase {
  const { name, scheduler, network, random, findMember, onExecuted } = options;
  const mailbox = createMailbox();
  const transactions = new Map<string, string[]>();
  let log: LogEntry[] = [];
  let applied = 0;
  let currentTerm = 0;
  let isPrimary = false;
  let following: string | undefined;
  let isUp = true;
  /** Counts starts of the process and, for pulls, changes of what is followed. */
  let epoch = 0;
  let pullEpoch = 0;
  let replicationLag = 0;
  let refusesConnections = false;
  let losses: AnswerLoss[] = [];

  const status = (): MemberStatus => ({
    member: name,
    role: isPrimary ? 'primary' : 'replica',
    currentTerm,
    logEnd: endOf(log),
    applied: positionAt(log, isPrimary ? log.length : applied),
    termStarts: termStartsOf(log),
    voters: votersOf(log),
    incarnation: `${name}-1`,
    ...(following ? { following } : {}),
  });

  const append = (writes: readonly string[], named: Pick<LogEntry, 'voters'> = {}): LogEntry => {
    const entry = { term: currentTerm, index: log.length + 1, writes, ...named };
    log.push(entry);
    applied = log.length;
    onExecuted(entry, name);
    return entry;
  };

  // Replication

  const applyThrough = (source: readonly LogEntry[], length: number) => {
    if (log === source || commonLength(log, source) >= length) applied = Math.max(applied, length);
  };

  const merge = (entries: readonly LogEntry[]) => {
    const common = commonLength(log, entries);
    if (common === entries.length) return;
    // A new array: views that were answered keep what they showed.
    if (common < log.length) log = log.slice(0, common);
    applied = Math.min(applied, common);
    log.push(...entries.slice(common));
  };

  const onPulled = (entries: readonly LogEntry[]) => {
    merge(entries);
    scheduler.after(random.next() * (1 + replicationLag), () =>
      applyThrough(entries, entries.length),
    );
  };

  const pull = (asEpoch: number) => {
    const isPresent = () => pullEpoch === asEpoch && isUp && following !== undefined;
    if (!isPresent() || following === undefined) return;
    const primary = findMember(following);
    const term = currentTerm;
    let isAnswered = false;
    const again = () => {
      if (isAnswered) return;
      isAnswered = true;
      scheduler.after(PULL_MILLISECONDS + replicationLag, () => pull(asEpoch));
    };
    network.send(name, primary.name, () =>
      primary.mailbox.run(() => {
        const { role, currentTerm: primaryTerm } = primary.status();
        if (!primary.isUp() || role !== 'primary' || primaryTerm !== term) return;
        const entries = [...primary.log()];
        network.send(primary.name, name, () =>
          mailbox.run(() => {
            if (!isPresent() || currentTerm !== term) return;
            onPulled(entries);
            again();
          }),
        );
      }),
    );
    scheduler.after(LOST_PULL_MILLISECONDS, () => mailbox.run(again));
  };

  const startPulling = () => {
    pullEpoch += 1;
    pull(pullEpoch);
  };

  // Control

  const stopBeingPrimary = () => {
    isPrimary = false;
    transactions.clear();
  };

  const controls: {
    [Kind in ControlStatement['kind']]: (
      statement: Extract<ControlStatement, { kind: Kind }>,
    ) => boolean;
  } = {
    status: () => true,
    fence: ({ term }) => {
      if (term <= currentTerm) return false;
      currentTerm = term;
      following = undefined;
      pullEpoch += 1;
      stopBeingPrimary();
      return true;
    },
    promote: ({ term }) => {
      if (term !== currentTerm || following !== undefined) return false;
      if (isPrimary) return true;
      isPrimary = true;
      append([]);
      return true;
    },
    follow: ({ term, primary }) => {
      if (term < currentTerm || (isPrimary && term === currentTerm)) return false;
      const isKnown = currentTerm === term && following === primary;
      currentTerm = term;
      following = primary;
      stopBeingPrimary();
      if (!isKnown) startPulling();
      return true;
    },
    nameVoters: ({ term, after, voters }) => {
      if (!isPrimary || term !== currentTerm) return false;
      if (comparePositions(votersOf(log).position, after) !== 0) return false;
      append([], { voters });
      return true;
    },
  };

  const control = (statement: ControlStatement, reply: (reply: ControlReply) => void) => {
    if (!isUp) {
      reply({ refused: 'unreachable' });
      return;
    }
    const loss = statement.kind === 'status' ? undefined : losses.shift();
    if (loss === 'beforeEffect') return;
    const run = controls[statement.kind] as (statement: ControlStatement) => boolean;
    const isAccepted = run(statement);
    if (loss === 'afterEffect') return;
    reply(isAccepted ? { status: status() } : { refused: 'staleTerm' });
  };

  // Callers' statements

  const commit = (connection: string): CallerReply => {
    const writes = transactions.get(connection);
    transactions.delete(connection);
    if (!writes) return { kind: 'reset' };
    if (!isPrimary) return { kind: 'notPrimary' };
    return writes.length > 0 ? { kind: 'written', entry: append(writes) } : { kind: 'ok' };
  };

  const runners: {
    [Kind in CallerStatement['kind']]: (
      statement: Extract<CallerStatement, { kind: Kind }>,
    ) => CallerReply;
  } = {
    read: () => ({
      kind: 'rows',
      view: { member: name, log, applied: isPrimary ? log.length : applied },
    }),
    write: ({ writes, fails }) => {
      if (!isPrimary) return { kind: 'notPrimary' };
      return fails ? { kind: 'error' } : { kind: 'written', entry: append(writes) };
    },
    begin: ({ connection }) => {
      if (!isPrimary) return { kind: 'notPrimary' };
      transactions.set(connection, []);
      return { kind: 'ok' };
    },
    add: ({ connection, write }) => {
      const writes = transactions.get(connection);
      if (!writes) return { kind: 'reset' };
      writes.push(write);
      return { kind: 'ok' };
    },
    commit: ({ connection }) => commit(connection),
    close: ({ connection }) => {
      transactions.delete(connection);
      return { kind: 'ok' };
    },
  };

  const finish = (statement: CallerStatement, reply: (reply: CallerReply) => void) => {
    const loss = statement.kind === 'close' ? undefined : losses.shift();
    if (loss === 'beforeEffect') {
      reply({ kind: 'reset' });
      return;
    }
    const run = runners[statement.kind] as (statement: CallerStatement) => CallerReply;
    const result = run(statement);
    reply(loss === 'afterEffect' ? { kind: 'reset' } : result);
  };

  const execute = (statement: CallerStatement, reply: (reply: CallerReply) => void) => {
    if (!isUp) {
      reply({ kind: 'unreachable' });
      return;
    }
    if (refusesConnections && (statement.kind === 'read' || statement.kind === 'write')) {
      reply({ kind: 'connectionLimit' });
      return;
    }
    const startedIn = epoch;
    scheduler.after(random.next() * SLOWEST_SERVICE_MILLISECONDS, () =>
      mailbox.run(() => {
        if (epoch === startedIn) finish(statement, reply);
        else reply({ kind: 'reset' });
      }),
    );
  };

  return {
    name,
    mailbox,
    status,
    log: () => log,
    isUp: () => isUp,
    isPrimary: () => isPrimary,
    control,
    execute,
    attach: (primary) => {
      currentTerm = 1;
      isPrimary = primary === name;
      if (isPrimary) append([]);
      else following = primary;
      if (!isPrimary) startPulling();
    },
    crash: () => {
      isUp = false;
      epoch += 1;
      pullEpoch += 1;
      transactions.clear();
      mailbox.thaw();
    },
    restart: () => {
      if (isUp) return;
      isUp = true;
      if (following) startPulling();
    },
    freeze: mailbox.freeze,
    thaw: mailbox.thaw,
    loseAnswers: (count, loss) => {
      losses = Array.from({ length: count }, () => loss);
    },
    setReplicationLag: (milliseconds) => {
      replicationLag = milliseconds;
    },
    setRefusesConnections: (refuses) => {
      refusesConnections = refuses;
    },
  };
}
