/** A lexical token of a SQL statement; `text` is the original spelling. @internal */
export interface SqlToken {
  /** `unterminated` is a string, identifier or comment without an end; it extends to the end of the text. */
  type: 'word' | 'string' | 'identifier' | 'variable' | 'number' | 'symbol' | 'unterminated';
  text: string;
  /** Upper case for words, otherwise equal to `text`, so that quoted text equals no symbol or word. */
  value: string;
}

const SPACE = /\s+|--(?=\s|$)[^\n]*|#[^\n]*/y;

const TOKEN_PATTERN =
  /(?<variable>@@?(?:[\w$]+\.)?[\w$]+)|(?<word>[A-Za-z_\u0080-\uffff$][\w$\u0080-\uffff]*)|(?<number>\d[\w.]*)|(?<symbol>:=|\/\*!|[\s\S])/y;

const FIRST_WORD = /^\(*\s*([A-Za-z]+)/;

const QUOTED_TYPES: ReadonlyMap<string, 'string' | 'identifier'> = new Map([
  ["'", 'string'],
  ['"', 'string'],
  ['`', 'identifier'],
]);

const BACKSLASH = '\\'.charCodeAt(0);

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
 * Quoted text and comments are scanned without expressions, which would keep a state for each of their
 * parts: a long one would exceed the stack.
 *
 * @internal
 */
export function tokenizeSql(sql: string): SqlToken[] {
  const tokens: SqlToken[] = [];
  let offset = skipSpace(sql, 0);
  while (offset < sql.length) {
    const token = readToken(sql, offset);
    tokens.push(token);
    offset = skipSpace(sql, offset + token.text.length);
  }
  return tokens;
}

/** Returns a statement's first word in upper case, after comments and parentheses; '' if none. @internal */
export function readFirstWord(sql: string): string {
  return FIRST_WORD.exec(sql.slice(skipSpace(sql, 0)))?.[1]?.toUpperCase() ?? '';
}

/** Returns the offset after white space and complete comments. */
function skipSpace(sql: string, start: number): number {
  let offset = start;
  for (;;) {
    const end = findSpaceEnd(sql, offset);
    if (end === offset) return offset;
    offset = end;
  }
}

function findSpaceEnd(sql: string, offset: number): number {
  if (isComment(sql, offset)) {
    const end = sql.indexOf('*/', offset + 2);
    return end < 0 ? offset : end + 2;
  }
  SPACE.lastIndex = offset;
  return SPACE.test(sql) ? SPACE.lastIndex : offset;
}

function isComment(sql: string, offset: number): boolean {
  return sql.startsWith('/*', offset) && sql[offset + 2] !== '!';
}

function readToken(sql: string, offset: number): SqlToken {
  const type = QUOTED_TYPES.get(sql.charAt(offset));
  if (type) return readQuoted(sql, offset, type);
  if (isComment(sql, offset)) return createUnterminated(sql, offset);
  TOKEN_PATTERN.lastIndex = offset;
  const match = TOKEN_PATTERN.exec(sql);
  return toToken(match?.groups ?? {}, match?.[0] ?? '');
}

function readQuoted(sql: string, offset: number, type: 'string' | 'identifier'): SqlToken {
  const end = findQuoteEnd(sql, offset);
  if (end === undefined) return createUnterminated(sql, offset);
  const text = sql.slice(offset, end);
  return { type, text, value: text };
}

/** Returns the offset after the closing quote. A doubled quote is part of the text; so is an escaped one. */
function findQuoteEnd(sql: string, start: number): number | undefined {
  const quote = sql.charCodeAt(start);
  const hasEscapes = sql.charAt(start) !== '`';
  for (let offset = start + 1; offset < sql.length; offset += 1) {
    const character = sql.charCodeAt(offset);
    if (character === BACKSLASH && hasEscapes) offset += 1;
    else if (character === quote) {
      if (sql.charCodeAt(offset + 1) !== quote) return offset + 1;
      offset += 1;
    }
  }
  return undefined;
}

function createUnterminated(sql: string, offset: number): SqlToken {
  const text = sql.slice(offset);
  return { type: 'unterminated', text, value: text };
}

function toToken(groups: Record<string, string>, text: string): SqlToken {
  if (groups.word !== undefined) return { type: 'word', text, value: text.toUpperCase() };
  if (groups.variable !== undefined) return { type: 'variable', text, value: text };
  if (groups.number !== undefined) return { type: 'number', text, value: text };
  return { type: 'symbol', text, value: text };
}

/** Returns the content of a string or identifier, and the text of any other token. @internal */
export function readContent({ type, text }: SqlToken): string {
  if (type === 'string') return unquoteString(text);
  return type === 'identifier' ? text.slice(1, -1).replaceAll('``', '`') : text;
}

function unquoteString(text: string): string {
  const quote = text.charAt(0);
  return text
    .slice(1, -1)
    .replaceAll(quote + quote, quote)
    .replaceAll(/\\([\s\S])/g, (_, character: string) => ESCAPES[character] ?? character);
}
