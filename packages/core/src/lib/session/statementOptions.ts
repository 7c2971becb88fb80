/** Options from the leading comment of a statement. @public */
export interface StatementOptions {
  /** Name of a configured request kind. */
  kind?: string;
  /** Session token from an earlier answer. */
  token?: string;
  /** Session name, for logs only. */
  session?: string;
}

/** Options of a statement without a leading comment. @internal */
export const NO_STATEMENT_OPTIONS: StatementOptions = {};

const OPTIONS_COMMENT = /^\s*\/\*\s*wisterialift\s([^*]*)\*\//;
/** Begins at whole words only, since trying each end of a long one would take quadratic time. */
const OPTION = /(?<!\w)(\w+)=(\S+)/g;

const optionNames = ['kind', 'token', 'session'] as const;

/**
 * Parses the options in the leading comment of a statement.
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
