import { isDeepStrictEqual } from 'node:util';
import { existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { comparePositions } from '@wisterialift/schema';
import type { Position, ReportedMemberStatus } from '@wisterialift/schema';
import { DatabaseError } from '../engine/databaseError';
import type { Engine } from '../engine/createEngine';
import type { Log, LoggedStatement, LogEntry } from '../log/createLog';

/** The primary that a replica pulls the log from. */
export interface FollowedPrimary {
  name: string;
  /** `host:port` of its MySQL protocol. */
  address: string;
}

interface MemberState {
  currentTerm: number;
  isPrimary: boolean;
  following: FollowedPrimary | undefined;
}

/** The part of a database that takes part in its group: term, role, log and applied position. */
export interface Member {
  status: () => ReportedMemberStatus;
  isPrimary: () => boolean;
  currentTerm: () => number;
  following: () => FollowedPrimary | undefined;
  fence: (term: number) => void;
  promote: (term: number) => void;
  follow: (term: number, primary: FollowedPrimary) => void;
  /** Writes an entry that names the voters; refused unless the newest such one is at `after`. */
  nameVoters: (term: number, after: Position, voters: Record<string, string>) => void;
  /** Writes a transaction of the primary as one entry. */
  commit: (statements: LoggedStatement[]) => LogEntry;
  /** Takes entries of the followed primary that fit the end of the log. */
  receive: (entries: LogEntry[]) => void;
  /** Drops entries that differ from the primary's; reads then show the shorter history. */
  truncate: (index: number) => void;
  /** Applies entries of the log up to the index. */
  applyThrough: (index: number) => void;
  appliedIndex: () => number;
  /**
   * Runs the listener after every change of term, role or voters.
   *
   * @returns a function that takes the listener off again.
   */
  onChange: (listener: () => void) => () => void;
}

/** Error code of a group statement whose term is not acceptable. */
export const STALE_TERM_CODE = 4100;

const STATE_FILE = 'state.json';

/** What a member is made of. */
export interface MemberOptions {
  name: string;
  log: Log;
  engine: Engine;
  /** Where term and role are kept over a restart. */
  directory?: string;
}

/** Opens the member with the term, role and log that it had. */
export function createMember({ name, log, engine, directory }: MemberOptions): Member {
  const file = directory === undefined ? undefined : join(directory, STATE_FILE);
  let state = readState(file);
  let applied = 0;
  const listeners = new Set<() => void>();

  /** The term is kept before it is answered: a restart must not forget what it has refused. */
  function changeState(next: MemberState): void {
    state = next;
    if (file !== undefined) {
      writeFileSync(`${file}.new`, JSON.stringify(state));
      renameSync(`${file}.new`, file);
    }
    listeners.forEach((listener) => listener());
  }

  function applyThrough(index: number): void {
    while (applied < index) {
      const entry = log.entry(applied + 1);
      if (!entry) return;
      engine.apply(entry.statements);
      applied += 1;
    }
  }

  function append(content: Pick<LogEntry, 'statements' | 'voters'>): LogEntry {
    const entry = { term: state.currentTerm, index: log.end().index + 1, ...content };
    log.append(entry);
    applied = entry.index;
    return entry;
  }

  const commit = (statements: LoggedStatement[]): LogEntry => append({ statements });

  function refuseUnless(isAcceptable: boolean, term: number): void {
    if (isAcceptable) return;
    const message = `stale term: ${term} is refused in term ${state.currentTerm}`;
    throw new DatabaseError(STALE_TERM_CODE, 'HY000', message);
  }

  applyThrough(log.end().index);

  return {
    status: () => ({
      member: name,
      role: state.isPrimary ? 'primary' : 'replica',
      currentTerm: state.currentTerm,
      logEnd: log.end(),
      applied: { term: log.termAt(applied), index: applied },
      termStarts: log.termStarts(),
      voters: log.voters(),
      ...(state.following ? { following: state.following.name } : {}),
    }),
    isPrimary: () => state.isPrimary,
    currentTerm: () => state.currentTerm,
    following: () => state.following,
    fence: (term) => {
      refuseUnless(term > state.currentTerm, term);
      changeState({ currentTerm: term, isPrimary: false, following: undefined });
    },
    promote: (term) => {
      refuseUnless(term === state.currentTerm && state.following === undefined, term);
      if (state.isPrimary) return;
      changeState({ currentTerm: term, isPrimary: true, following: undefined });
      applyThrough(log.end().index);
      commit([]);
    },
    follow: (term, primary) => {
      const isOwnTerm = state.isPrimary && term === state.currentTerm;
      refuseUnless(term >= state.currentTerm && !isOwnTerm, term);
      // Every proxy gives this order; a repeated one must not open the replication link anew.
      const next = { currentTerm: term, isPrimary: false, following: primary };
      if (!isDeepStrictEqual(next, state)) changeState(next);
    },
    nameVoters: (term, after, voters) => {
      const isNewest = comparePositions(log.voters().position, after) === 0;
      refuseUnless(state.isPrimary && term === state.currentTerm && isNewest, term);
      append({ statements: [], voters });
      listeners.forEach((listener) => listener());
    },
    commit,
    receive: (entries) => entries.forEach(log.append),
    truncate: (index) => {
      log.truncate(index);
      if (applied <= index) return;
      engine.clear();
      applied = 0;
      applyThrough(index);
    },
    applyThrough,
    appliedIndex: () => applied,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

function readState(file: string | undefined): MemberState {
  if (file === undefined || !existsSync(file)) {
    return { currentTerm: 0, isPrimary: false, following: undefined };
  }
  return JSON.parse(readFileSync(file, 'utf8')) as MemberState;
}
