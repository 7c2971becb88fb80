/** A statement in the dialect of the SQL engine. */
export interface TranslatedStatement {
  sql: string;
  parameterCount: number;
}

const LITERAL = /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`[^`]*`/g;
const COMMENT = /\/\*[\s\S]*?\*\/|--\s[^\n]*/g;
const PLACEHOLDER = /\uE000(\d+)\uE000/g;
const INCREMENTING_COLUMN =
  /\b(?:BIG|MEDIUM|SMALL)?INT(?:EGER)?(?:\s*\(\d+\))?((?:\s+(?:UNSIGNED|NOT\s+NULL|PRIMARY\s+KEY|AUTO_INCREMENT))*)/gi;
const TABLE_OPTIONS = /\)\s*(?:(?:ENGINE|DEFAULT\s+CHARSET|CHARSET|COLLATE)\s*=?\s*\w+\s*)+;?\s*$/i;
const SEPARATE_PRIMARY_KEY = /,\s*PRIMARY\s+KEY\s*\([^)]*\)/i;

const ESCAPES: Record<string, string> = { n: '\n', r: '\r', t: '\t', b: '\b', Z: '\u001a' };

/** Words of MySQL that the SQL engine spells differently, outside of literals. */
const REWRITES: [RegExp, string][] = [
  [/\bINSERT\s+IGNORE\b/gi, 'INSERT OR IGNORE'],
  [/\bON\s+DUPLICATE\s+KEY\s+UPDATE\b/gi, 'ON CONFLICT DO UPDATE SET'],
  [/\s+(?:FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE)\s*;?\s*$/gi, ''],
];

/**
 * Rewrites a statement of MySQL's dialect for the SQL engine: string escapes, AUTO_INCREMENT, table
 * options and a few words.
 */
export function translateStatement(statement: string): TranslatedStatement {
  const literals: string[] = [];
  const withoutLiterals = statement.replace(LITERAL, (literal) => {
    literals.push(literal);
    return `\uE000${literals.length - 1}\uE000`;
  });
  const code = translateCode(withoutLiterals.replace(COMMENT, ' '));
  return {
    sql: code.replace(PLACEHOLDER, (_, index: string) =>
      translateLiteral(literals[Number(index)] ?? ''),
    ),
    parameterCount: code.split('?').length - 1,
  };
}

function translateCode(code: string): string {
  const rewritten = REWRITES.reduce((text, [from, to]) => text.replace(from, to), code);
  if (/^\s*CREATE\s+TABLE\b/i.test(rewritten)) return translateTable(rewritten);
  return /ON CONFLICT DO UPDATE/.test(rewritten)
    ? rewritten.replace(/\bVALUES\s*\(\s*(\w+)\s*\)(?=\s*(?:,|$|[-+*/]))/gi, 'excluded.$1')
    : rewritten;
}

function translateTable(code: string): string {
  if (!/AUTO_INCREMENT/i.test(code)) return code.replace(TABLE_OPTIONS, ')');
  return code
    .replace(INCREMENTING_COLUMN, (column, suffix: string) =>
      /AUTO_INCREMENT/i.test(suffix) ? 'INTEGER PRIMARY KEY AUTOINCREMENT' : column,
    )
    .replace(SEPARATE_PRIMARY_KEY, '')
    .replace(TABLE_OPTIONS, ')');
}

function translateLiteral(literal: string): string {
  const quote = literal[0];
  if (quote === '`' || quote === undefined) return literal;
  const text = literal
    .slice(1, -1)
    .replaceAll(quote + quote, quote)
    .replace(/\\([\s\S])/g, (_, character: string) => unescapeCharacter(character));
  if (text.includes('\u0000')) return `CAST(X'${Buffer.from(text).toString('hex')}' AS TEXT)`;
  return `'${text.replaceAll("'", "''")}'`;
}

function unescapeCharacter(character: string): string {
  if (character === '0') return '\u0000';
  return ESCAPES[character] ?? character;
}
