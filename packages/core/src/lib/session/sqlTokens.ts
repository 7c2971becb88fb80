/** A lexical token of a SQL statement; `text` is the original spelling. @internal */
export interface SqlToken {
  type: 'word' | 'string' | 'identifier' | 'variable' | 'number' | 'symbol';
  text: string;
  /** Upper case for words, unquoted for strings and identifiers, otherwise equal to `text`. */
  value: string;
}

const TOKEN_PATTERN =
  /(?<space>\s+|--(?=\s|$)[^\n]*|#[^\n]*|\/\*(?!!)[\s\S]*?\*\/)|(?<string>'[^'\\]*(?:(?:\\[\s\S]|'')[^'\\]*)*'|"[^"\\]*(?:(?:\\[\s\S]|"")[^"\\]*)*")|(?<identifier>`[^`]*(?:``[^`]*)*`)|(?<variable>@@?(?:[\w$]+\.)?[\w$]+)|(?<word>[A-Za-z_\u0080-\uffff$][\w$\u0080-\uffff]*)|(?<number>\d[\w.]*)|(?<symbol>:=|\/\*!|[\s\S])/gy;

const LEADING_SPACE_AND_COMMENTS = /^(?:\s+|--(?=\s|$)[^\n]*|#[^\n]*|\/\*(?!!)[\s\S]*?\*\/)*/;
const FIRST_WORD = /^\(*\s*([A-Za-z]+)/;

const ESCAPES: Record<string, string> = {
  n: '\n',
  r: '\r',
  t: '\t',
  '0': '\0',
  b: '\b',
  Z: '\x1a',
};

/**
 * Splits a statement into tokens, skipping white space and comments. Executable comments
 * (`/*! ... *\/`) are kept.
 *
 * @internal
 */
export function tokenizeSql(sql: string): SqlToken[] {
  const tokens: SqlToken[] = [];
  for (const match of sql.matchAll(TOKEN_PATTERN)) {
    const token = toToken(match.groups ?? {}, match[0]);
    if (token) tokens.push(token);
  }
  return tokens;
}

/** Returns a statement's first word in upper case, after comments and parentheses; '' if none. @internal */
export function readFirstWord(sql: string): string {
  const rest = sql.slice(LEADING_SPACE_AND_COMMENTS.exec(sql)?.[0].length ?? 0);
  return FIRST_WORD.exec(rest)?.[1]?.toUpperCase() ?? '';
}

function toToken(groups: Record<string, string>, text: string): SqlToken | undefined {
  if (groups.space !== undefined) return undefined;
  if (groups.word !== undefined) return { type: 'word', text, value: text.toUpperCase() };
  if (groups.string !== undefined) return { type: 'string', text, value: unquoteString(text) };
  if (groups.identifier !== undefined) {
    return { type: 'identifier', text, value: text.slice(1, -1).replaceAll('``', '`') };
  }
  if (groups.variable !== undefined) return { type: 'variable', text, value: text };
  if (groups.number !== undefined) return { type: 'number', text, value: text };
  return { type: 'symbol', text, value: text };
}

function unquoteString(text: string): string {
  const quote = text.charAt(0);
  return text
    .slice(1, -1)
    .replaceAll(quote + quote, quote)
    .replaceAll(/\\([\s\S])/g, (_, character: string) => ESCAPES[character] ?? character);
}
