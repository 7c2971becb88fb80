import { DatabaseError } from '../engine/databaseError';
import type { Log, LogEntry } from '../log/createLog';
import type { Member } from './createMember';

/** What a group statement did. */
export interface GroupAnswer {
  column: string;
  text: string;
  /** Whether it may have changed the member, so that its answer can be lost after the change. */
  hasChanged: boolean;
}

interface GroupStatement {
  pattern: RegExp;
  run: (member: Member, match: RegExpExecArray) => void;
}

const GROUP_STATEMENTS: GroupStatement[] = [
  {
    pattern: /^GROUP\s+FENCE\s+TERM\s+(\d+)$/i,
    run: (member, match) => member.fence(Number(match[1])),
  },
  {
    pattern: /^GROUP\s+PROMOTE\s+TERM\s+(\d+)$/i,
    run: (member, match) => member.promote(Number(match[1])),
  },
  {
    pattern:
      /^GROUP\s+FOLLOW\s+TERM\s+(\d+)\s+PRIMARY\s+'((?:[^'\\]|''|\\.)*)'\s+AT\s+'((?:[^'\\]|''|\\.)*)'$/i,
    run: (member, match) =>
      member.follow(Number(match[1]), { name: readText(match[2]), address: readText(match[3]) }),
  },
  {
    pattern:
      /^GROUP\s+VOTERS\s+TERM\s+(\d+)\s+AFTER\s+TERM\s+(\d+)\s+INDEX\s+(\d+)\s+ARE\s+'((?:[^'\\]|''|\\.)*)'$/i,
    run: (member, match) =>
      member.nameVoters(
        Number(match[1]),
        { term: Number(match[2]), index: Number(match[3]) },
        JSON.parse(readText(match[4])) as Record<string, string>,
      ),
  },
];

/** Reads the content of a literal. */
function readText(content = ''): string {
  return content.replaceAll(/''|\\(.)/g, (_, escaped: string | undefined) => escaped ?? "'");
}

/**
 * Runs a statement of the group's control.
 *
 * @returns undefined where the statement is not one.
 * @throws DatabaseError 4100 for a term that is not acceptable.
 */
export function runGroupStatement(sql: string, member: Member): GroupAnswer | undefined {
  const text = sql.trim().replace(/;$/, '').trim();
  if (/^SHOW\s+GROUP\s+STATUS$/i.test(text)) return answerStatus(member, false);
  if (!/^GROUP\s/i.test(text)) return undefined;
  for (const { pattern, run } of GROUP_STATEMENTS) {
    const match = pattern.exec(text);
    if (!match) continue;
    run(member, match);
    return answerStatus(member, true);
  }
  throw new DatabaseError(1064, '42000', `syntax error in group statement: ${text}`);
}

function answerStatus(member: Member, hasChanged: boolean): GroupAnswer {
  return { column: 'status', text: JSON.stringify(member.status()), hasChanged };
}

/** What a replica asks its primary for. */
export interface LogRequest {
  term: number;
  afterTerm: number;
  afterIndex: number;
}

/** What the primary answers: entries after the asked position, or where its terms began. */
export type LogAnswer =
  { type: 'entries'; entries: LogEntry[] } | { type: 'diverged'; commonIndex: number };

const LOG_REQUEST = /^GROUP\s+LOG\s+TERM\s+(\d+)\s+AFTER\s+TERM\s+(\d+)\s+INDEX\s+(\d+)$/i;
const ENTRIES_PER_ANSWER = 500;

/** Reads `GROUP LOG TERM n AFTER TERM t INDEX i`. */
export function parseLogRequest(sql: string): LogRequest | undefined {
  const match = LOG_REQUEST.exec(sql.trim());
  if (!match) return undefined;
  return {
    term: Number(match[1]),
    afterTerm: Number(match[2]),
    afterIndex: Number(match[3]),
  };
}

/** Writes a request for the log. */
export function formatLogRequest({ term, afterTerm, afterIndex }: LogRequest): string {
  return `GROUP LOG TERM ${term} AFTER TERM ${afterTerm} INDEX ${afterIndex}`;
}

/**
 * Answers a replica. Two logs that hold an entry of the same term at the same index are equal up to
 * it, since one primary alone writes in a term; where they differ there the replica is sent back to
 * an index below.
 *
 * @throws DatabaseError 4100 where this member is not the primary of the term.
 */
export function answerLogRequest(request: LogRequest, member: Member, log: Log): LogAnswer {
  if (!member.isPrimary() || member.currentTerm() !== request.term) {
    throw new DatabaseError(4100, 'HY000', `not the primary of term ${request.term}`);
  }
  if (log.termAt(request.afterIndex) !== request.afterTerm) {
    return { type: 'diverged', commonIndex: findLowerIndex(request, log) };
  }
  return { type: 'entries', entries: log.entriesAfter(request.afterIndex, ENTRIES_PER_ANSWER) };
}

/** The highest index that may still be common: the end of a term at or below the replica's. */
function findLowerIndex({ afterTerm, afterIndex }: LogRequest, log: Log): number {
  let index = Math.min(afterIndex - 1, log.end().index);
  while (index > 0 && log.termAt(index) > afterTerm) index -= 1;
  return index;
}
