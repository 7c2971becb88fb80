import { INITIAL_POSITION, type Position, type TermStart, type Voters } from '@wisterialift/schema';

/** An entry of the log: everything that one statement or one transaction wrote. @public */
export interface LogEntry {
  term: number;
  index: number;
  /** Unique identifiers of the writes; none marks the start of a term. */
  writes: readonly string[];
  /** Incarnations of the voters that it names. */
  voters?: Record<string, string>;
}

/** What a read saw: the entries of `log` through `applied`. @public */
export interface LogView {
  member: string;
  log: readonly LogEntry[];
  applied: number;
}

/** Position of the end of a log. @public */
export function endOf(log: readonly LogEntry[]): Position {
  return positionAt(log, log.length);
}

/** Position of the entry at an index. @public */
export function positionAt(log: readonly LogEntry[], index: number): Position {
  const entry = log[index - 1];
  return entry ? { term: entry.term, index } : INITIAL_POSITION;
}

/** Where each term of the log began. @public */
export function termStartsOf(log: readonly LogEntry[]): TermStart[] {
  const starts: TermStart[] = [];
  log.forEach(({ term, index }) => {
    if (starts.at(-1)?.term !== term) starts.push({ term, start: index - 1 });
  });
  return starts;
}

/** The newest voters that the log names. @public */
export function votersOf(log: readonly LogEntry[]): Voters {
  const newest = log.findLast(({ voters }) => voters);
  if (!newest?.voters) return { position: INITIAL_POSITION, incarnations: {} };
  return { position: positionAt(log, newest.index), incarnations: newest.voters };
}

/** Number of entries from the start that two logs share. Entries are shared, never copied. @public */
export function commonLength(left: readonly LogEntry[], right: readonly LogEntry[]): number {
  let length = Math.min(left.length, right.length);
  while (length > 0 && left[length - 1] !== right[length - 1]) length -= 1;
  return length;
}

/** Whether a view shows an entry. @public */
export function isShown({ log, applied }: LogView, entry: LogEntry): boolean {
  return entry.index <= applied && log[entry.index - 1] === entry;
}
