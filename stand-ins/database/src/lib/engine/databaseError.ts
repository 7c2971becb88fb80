/** An error that the database answers, with the code and state that MySQL gives it. */
export class DatabaseError extends Error {
  readonly code: number;

  readonly sqlState: string;

  constructor(code: number, sqlState: string, message: string) {
    super(message);
    this.name = 'DatabaseError';
    this.code = code;
    this.sqlState = sqlState;
  }
}

interface ErrorPattern {
  pattern: RegExp;
  code: number;
  sqlState: string;
}

const ERROR_PATTERNS: ErrorPattern[] = [
  { pattern: /UNIQUE constraint failed/i, code: 1062, sqlState: '23000' },
  { pattern: /NOT NULL constraint failed/i, code: 1048, sqlState: '23000' },
  { pattern: /CHECK constraint failed/i, code: 3819, sqlState: 'HY000' },
  { pattern: /FOREIGN KEY constraint failed/i, code: 1452, sqlState: '23000' },
  { pattern: /no such table/i, code: 1146, sqlState: '42S02' },
  { pattern: /already exists/i, code: 1050, sqlState: '42S01' },
  { pattern: /no such column|has no column named/i, code: 1054, sqlState: '42S22' },
  { pattern: /syntax error|incomplete input|unrecognized token/i, code: 1064, sqlState: '42000' },
  { pattern: /values for \d+ columns/i, code: 1136, sqlState: '21S01' },
];

/** Turns an error of the SQL engine into the one that MySQL would answer. */
export function toDatabaseError(error: unknown): DatabaseError {
  if (error instanceof DatabaseError) return error;
  const message = error instanceof Error ? error.message : String(error);
  const match = ERROR_PATTERNS.find(({ pattern }) => pattern.test(message));
  if (!match) return new DatabaseError(1105, 'HY000', message);
  const text = match.code === 1062 ? `Duplicate entry: ${message}` : message;
  return new DatabaseError(match.code, match.sqlState, text);
}

/** A write that reached a member which is not the primary; it was not run. */
export function readOnlyError(): DatabaseError {
  return new DatabaseError(
    1290,
    'HY000',
    'The server is running with the --read-only option so it cannot execute this statement',
  );
}
