import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { INITIAL_POSITION } from '@wisterialift/schema';
import type { Position, TermStart, Voters } from '@wisterialift/schema';
import type { LoggedValue } from '../engine/sqlValue';

/** A statement as it stands in the log. */
export interface LoggedStatement {
  sql: string;
  parameters: LoggedValue[];
}

/** One entry of the log; an entry without statements marks the start of a term. */
export interface LogEntry {
  term: number;
  index: number;
  statements: LoggedStatement[];
  /** Incarnations of the members that vote from this entry on. */
  voters?: Record<string, string>;
}

/** The log of a database. Index 1 is the first entry. */
export interface Log {
  end: () => Position;
  termStarts: () => TermStart[];
  /** The voters that the newest such entry names. */
  voters: () => Voters;
  /** Term of the entry at an index; 0 before the first and beyond the last entry. */
  termAt: (index: number) => number;
  entry: (index: number) => LogEntry | undefined;
  entriesAfter: (index: number, limit: number) => LogEntry[];
  append: (entry: LogEntry) => void;
  /** Drops every entry above the index. */
  truncate: (index: number) => void;
}

const LOG_FILE = 'log.jsonl';

/**
 * Opens the log.
 *
 * @param directory - where entries are kept over a restart; without it they live in memory alone.
 */
export function createLog(directory?: string): Log {
  const file = directory === undefined ? undefined : join(directory, LOG_FILE);
  let entries = file === undefined ? [] : readEntries(file);
  let starts = findTermStarts(entries);
  let voters = findVoters(entries);

  return {
    end: () => {
      const last = entries.at(-1);
      return last ? { term: last.term, index: last.index } : INITIAL_POSITION;
    },
    termStarts: () => starts,
    voters: () => voters,
    termAt: (index) => entries[index - 1]?.term ?? 0,
    entry: (index) => entries[index - 1],
    entriesAfter: (index, limit) => entries.slice(index, index + limit),
    append: (entry) => {
      if (entry.term !== (entries.at(-1)?.term ?? 0)) {
        starts = [...starts, { term: entry.term, start: entry.index - 1 }];
      }
      entries.push(entry);
      if (entry.voters) voters = findVoters([entry]);
      if (file !== undefined) appendFileSync(file, `${JSON.stringify(entry)}\n`);
    },
    truncate: (index) => {
      entries = entries.slice(0, index);
      starts = findTermStarts(entries);
      voters = findVoters(entries);
      if (file !== undefined) writeFileSync(file, entries.map(toLine).join(''));
    },
  };
}

function toLine(entry: LogEntry): string {
  return `${JSON.stringify(entry)}\n`;
}

/**
 * Reads the entries that are kept. A process that is killed in the middle of a write leaves a half
 * last line; its entry was never acknowledged, so it is dropped.
 */
function readEntries(file: string): LogEntry[] {
  if (!existsSync(file)) return [];
  const text = readFileSync(file, 'utf8');
  const whole = text.slice(0, text.lastIndexOf('\n') + 1);
  if (whole.length !== text.length) writeFileSync(file, whole);
  return whole
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as LogEntry);
}

function findVoters(entries: readonly LogEntry[]): Voters {
  const newest = entries.findLast(({ voters }) => voters);
  if (!newest?.voters) return { position: INITIAL_POSITION, incarnations: {} };
  const { term, index, voters } = newest;
  return { position: { term, index }, incarnations: voters };
}

function findTermStarts(entries: readonly LogEntry[]): TermStart[] {
  return entries.flatMap((entry, place) =>
    entry.term === (entries[place - 1]?.term ?? 0)
      ? []
      : [{ term: entry.term, start: entry.index - 1 }],
  );
}
