/** What a leading comment asks for one statement. @public */
export interface StatementOptions {
  /** Name of a request kind of the configuration. */
  kind?: string;
  /** Token of the session, as an earlier answer carried it. */
  token?: string;
  /** Name of the session, for logs alone. */
  session?: string;
}

/** Options of a statement without a leading comment. @public */
export const NO_STATEMENT_OPTIONS: StatementOptions = {};

const OPTIONS_COMMENT = /^\s*\/\*\s*wisterialift\s([^*]*)\*\//;
const OPTION = /(\w+)=(\S+)/g;

const optionNames = ['kind', 'token', 'session'] as const;

/**
 * Reads the leading comment of a statement.
 *
 * @example
 * `/* wisterialift kind=history token=w1.aGVsbG8.1a2b3c4d *\/ SELECT 1`
 * @public
 */
export function parseStatementOptions(sql: string): StatementOptions {
  const comment = OPTIONS_COMMENT.exec(sql)?.[1];
  if (comment === undefined) return NO_STATEMENT_OPTIONS;
  const options: StatementOptions = {};
  for (const [, name, value] of comment.matchAll(OPTION)) {
    const known = optionNames.find((optionName) => optionName === name);
    if (known) options[known] = value;
  }
  return options;
}
