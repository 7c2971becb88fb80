/** How a statement is run. */
export type StatementKind =
  | 'begin'
  | 'commit'
  | 'rollback'
  | 'ignored'
  | 'variables'
  | 'sleep'
  | 'show'
  | 'lockingRead'
  | 'read'
  | 'write';

const LEADING_COMMENT = /^(?:\s+|\/\*[\s\S]*?\*\/|--\s[^\n]*\n|;)+/;

const KINDS: [RegExp, StatementKind][] = [
  [/^(?:BEGIN|START\s+TRANSACTION)\b/i, 'begin'],
  [/^COMMIT\b/i, 'commit'],
  [/^ROLLBACK\b(?!\s+TO)/i, 'rollback'],
  [/^(?:SET|USE)\b/i, 'ignored'],
  [/^SELECT\s+SLEEP\s*\(/i, 'sleep'],
  [/^SELECT\s+(?:@@|VERSION\s*\(|DATABASE\s*\(|CONNECTION_ID\s*\()/i, 'variables'],
  [/^SHOW\b/i, 'show'],
  [/^(?:SELECT|WITH)\b[\s\S]*\b(?:FOR\s+UPDATE)\s*;?\s*$/i, 'lockingRead'],
  [/^(?:SELECT|WITH|VALUES|EXPLAIN|PRAGMA)\b/i, 'read'],
];

/** Tells how a statement is run from its first words. */
export function findStatementKind(sql: string): StatementKind {
  const text = sql.replace(LEADING_COMMENT, '');
  return KINDS.find(([pattern]) => pattern.test(text))?.[1] ?? 'write';
}
