import { parseSetStatement } from './parseSetStatement';
import { readContent, readFirstWord, tokenizeSql, type SqlToken } from './sqlTokens';
import { parseStatementOptions } from './statementOptions';
import type { ClassifiedStatement, StatementClassification, VariableColumn } from './statement';

const WRITE: StatementClassification = { type: 'write' };
const UNKNOWN_STATEMENT: StatementClassification = { type: 'write', mayCommit: true };
const READ: StatementClassification = { type: 'read' };
const LOCKING_READ: StatementClassification = { type: 'lockingRead' };
const DEFINITION: StatementClassification = { type: 'definition' };

const asUnsupported = (feature: string): StatementClassification => ({
  type: 'unsupported',
  feature,
});

/**
 * Functions that depend on connection state or have side effects; unsupported because connections
 * are shared between callers.
 */
const unsupportedFunctions = new Set([
  'GET_LOCK',
  'RELEASE_LOCK',
  'RELEASE_ALL_LOCKS',
  'FOUND_ROWS',
  'ROW_COUNT',
  'NEXTVAL',
  'SETVAL',
]);

const informationFunctions = new Set([
  'DATABASE',
  'SCHEMA',
  'VERSION',
  'CONNECTION_ID',
  'USER',
  'CURRENT_USER',
  'LAST_INSERT_ID',
]);

type StatementClassifier = (sql: string) => StatementClassification;

const classifiersByWord: Record<string, StatementClassifier> = {
  SELECT: classifySelect,
  WITH: classifySelect,
  TABLE: classifySelect,
  VALUES: classifySelect,
  SHOW: classifyShow,
  EXPLAIN: () => READ,
  DESCRIBE: () => READ,
  DESC: () => READ,
  BEGIN: (sql) => classifyExact(sql, /^BEGIN( WORK)?$/, { type: 'begin' }, 'a compound statement'),
  START: (sql) =>
    classifyExact(
      sql,
      /^START TRANSACTION( (WITH CONSISTENT SNAPSHOT|READ ONLY|READ WRITE)( , )?)*$/,
      { type: 'begin' },
      'this form of START',
    ),
  COMMIT: (sql) =>
    classifyExact(
      sql,
      /^COMMIT( WORK)?( AND NO CHAIN)?( NO RELEASE)?$/,
      { type: 'commit' },
      'COMMIT with CHAIN or RELEASE',
    ),
  ROLLBACK: classifyRollback,
  SET: classifySet,
  USE: classifyUse,
  INSERT: classifyWrite,
  REPLACE: classifyWrite,
  UPDATE: classifyWrite,
  DELETE: classifyWrite,
  DO: () => WRITE,
  SAVEPOINT: () => WRITE,
  RELEASE: () => WRITE,
  CREATE: (sql) =>
    /^\s*CREATE\s+TEMPORARY\b/i.test(sql) ? asUnsupported('a temporary table') : DEFINITION,
  ALTER: () => DEFINITION,
  DROP: () => DEFINITION,
  RENAME: () => DEFINITION,
  TRUNCATE: () => DEFINITION,
  GRANT: () => DEFINITION,
  REVOKE: () => DEFINITION,
  ANALYZE: () => DEFINITION,
  OPTIMIZE: () => DEFINITION,
  REPAIR: () => DEFINITION,
  LOCK: () => asUnsupported('LOCK TABLES'),
  UNLOCK: () => asUnsupported('UNLOCK TABLES'),
  PREPARE: () => asUnsupported('PREPARE as text (use the protocol)'),
  EXECUTE: () => asUnsupported('EXECUTE as text (use the protocol)'),
  DEALLOCATE: () => asUnsupported('DEALLOCATE as text (use the protocol)'),
  XA: () => asUnsupported('XA'),
  HANDLER: () => asUnsupported('HANDLER'),
  LOAD: () => asUnsupported('LOAD DATA'),
  GROUP: () => asUnsupported('control of the group'),
};

/**
 * Classifies a statement. Unknown statements are writes, because the primary can run any statement
 * while a replica refuses writes, and may commit by themselves, as `CALL` may.
 *
 * @example
 * classifyStatement('SELECT 1').request // { type: 'read' }
 * @public
 */
export function classifyStatement(sql: string): ClassifiedStatement {
  const classify = classifiersByWord[readFirstWord(sql)];
  return {
    request: classify ? classify(sql) : UNKNOWN_STATEMENT,
    options: parseStatementOptions(sql),
  };
}

function tokenizeStatement(sql: string): SqlToken[] {
  const tokens = tokenizeSql(sql);
  while (tokens.at(-1)?.value === ';') tokens.pop();
  return tokens;
}

function classifyExact(
  sql: string,
  pattern: RegExp,
  classification: StatementClassification,
  unsupportedFeature: string,
): StatementClassification {
  const words = tokenizeStatement(sql).map(({ value }) => value);
  return pattern.test(words.join(' ')) ? classification : asUnsupported(unsupportedFeature);
}

const RETURNING = /\bRETURNING\b/i;

/**
 * Rejects RETURNING: an answer that ends with rows carries no log position, so the write could not be
 * confirmed by a majority.
 */
function classifyWrite(sql: string): StatementClassification {
  if (!RETURNING.test(sql)) return WRITE;
  const isReturning = tokenizeSql(sql).some(
    ({ type, value }) => type === 'word' && value === 'RETURNING',
  );
  return isReturning ? asUnsupported('RETURNING') : WRITE;
}

function classifyRollback(sql: string): StatementClassification {
  const words = tokenizeStatement(sql).map(({ value }) => value);
  if (words.includes('TO')) return WRITE;
  return classifyExact(
    sql,
    /^ROLLBACK( WORK)?( AND NO CHAIN)?( NO RELEASE)?$/,
    { type: 'rollback' },
    'ROLLBACK with CHAIN or RELEASE',
  );
}

function classifySet(sql: string): StatementClassification {
  const assignments = parseSetStatement(tokenizeStatement(sql));
  return assignments ? { type: 'set', assignments } : asUnsupported('this form of SET');
}

function classifyUse(sql: string): StatementClassification {
  const [, name, ...rest] = tokenizeStatement(sql);
  if (!name || rest.length > 0) return asUnsupported('this form of USE');
  return { type: 'use', group: readContent(name) };
}

function classifyShow(sql: string): StatementClassification {
  const tokens = tokenizeStatement(sql);
  const words = tokens.map(({ value }) => value);
  const [, second, third] = words;
  if (second === 'GROUP') return asUnsupported('control of the group');
  if (second === 'WARNINGS' || second === 'ERRORS') return asUnsupported(`SHOW ${second}`);
  if (second === 'VARIABLES' || third === 'VARIABLES') {
    const literal = tokens.find(({ type }) => type === 'string');
    return { type: 'showVariables', pattern: literal ? readContent(literal) : '%' };
  }
  return READ;
}

function classifySelect(sql: string): StatementClassification {
  const tokens = tokenizeStatement(sql);
  return parseSelectedVariables(tokens) ?? classifyQuery(tokens);
}

/** Words that make a query a write at any nesting depth. */
const writeKeywords = new Set(['INTO', 'UPDATE', 'DELETE', 'INSERT', 'REPLACE', 'CALL']);

function classifyQuery(tokens: SqlToken[]): StatementClassification {
  let classification = READ;
  for (let index = 0; index < tokens.length; index += 1) {
    const { type, value } = tokens[index] as SqlToken;
    const next = tokens[index + 1]?.value;
    // A database that reads quotes in another mode may find the end, and what follows it.
    if (type === 'unterminated') return WRITE;
    if (value === ';') return asUnsupported('more than one statement at a time');
    if (value === ':=') return asUnsupported('a user variable');
    if (type === 'word' && next === '(' && unsupportedFunctions.has(value)) {
      return asUnsupported(value);
    }
    if (isLockingClause(value, next)) classification = LOCKING_READ;
    const isForUpdate = value === 'UPDATE' && tokens[index - 1]?.value === 'FOR';
    if (type === 'word' && writeKeywords.has(value) && next !== '(' && !isForUpdate) return WRITE;
  }
  return classification;
}

function isLockingClause(value: string, next: string | undefined): boolean {
  if (value === 'FOR') return next === 'UPDATE' || next === 'SHARE';
  return value === '/*!' || (value === 'LOCK' && next === 'IN');
}

/** Name, parentheses, AS and label. */
const MAXIMUM_ITEM_TOKENS = 5;

/** Parses `SELECT @@name [AS label], function() ...`; undefined for queries that need a database. */
function parseSelectedVariables(tokens: SqlToken[]): StatementClassification | undefined {
  const [select, ...list] = removeLimit(tokens);
  if (select?.value !== 'SELECT') return undefined;
  const columns: VariableColumn[] = [];
  let offset = 0;
  while (offset < list.length) {
    const item = parseSelectItem(list.slice(offset, offset + MAXIMUM_ITEM_TOKENS));
    if (!item) return undefined;
    columns.push(item.column);
    offset += item.length;
    if (offset < list.length && list[offset]?.value !== ',') return undefined;
    offset += 1;
  }
  return columns.length > 0 ? { type: 'selectVariables', columns } : undefined;
}

function removeLimit(tokens: SqlToken[]): SqlToken[] {
  return tokens.at(-2)?.value === 'LIMIT' ? tokens.slice(0, -2) : tokens;
}

interface SelectItem {
  column: VariableColumn;
  /** Number of tokens in the item. */
  length: number;
}

function parseSelectItem(tokens: SqlToken[]): SelectItem | undefined {
  const [first, second, third] = tokens;
  if (!first) return undefined;
  if (first.type === 'variable' && first.value.startsWith('@@')) {
    const variable = first.value
      .slice(2)
      .replace(/^(session|local|global)\./i, '')
      .toLowerCase();
    return parseLabel(tokens, 1, { label: first.text, variable });
  }
  const isFunction = informationFunctions.has(first.value) && second?.value === '(';
  if (!isFunction || third?.value !== ')') return undefined;
  return parseLabel(tokens, 3, {
    label: `${first.text}()`,
    variable: `${first.value.toLowerCase()}()`,
  });
}

function parseLabel(tokens: SqlToken[], length: number, column: VariableColumn): SelectItem {
  const next = tokens[length];
  const label = next?.value === 'AS' ? tokens[length + 1] : next;
  if (!label || label.type === 'symbol') return { column, length };
  const labelled = { label: readContent(label), variable: column.variable };
  return { column: labelled, length: length + (next?.value === 'AS' ? 2 : 1) };
}
