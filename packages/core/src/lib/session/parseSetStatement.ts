import type { Assignment } from './statement';
import { readContent, type SqlToken } from './sqlTokens';

const scopesByWord: Record<string, Assignment['scope']> = {
  SESSION: 'session',
  LOCAL: 'session',
  GLOBAL: 'global',
  PERSIST: 'global',
  PERSIST_ONLY: 'global',
};

/**
 * Parses the assignments of a SET statement.
 *
 * @param tokens - tokens of the statement, including SET.
 * @returns undefined if the syntax is not supported.
 * @internal
 */
export function parseSetStatement(tokens: SqlToken[]): Assignment[] | undefined {
  const assignments = splitAtCommas(tokens.slice(1)).map(parseAssignment);
  return assignments.every((assignment) => assignment !== undefined) ? assignments : undefined;
}

function splitAtCommas(tokens: SqlToken[]): SqlToken[][] {
  const parts: SqlToken[][] = [[]];
  let depth = 0;
  tokens.forEach((token) => {
    if (token.value === '(') depth += 1;
    if (token.value === ')') depth -= 1;
    if (token.value === ',' && depth === 0) parts.push([]);
    else parts.at(-1)?.push(token);
  });
  return parts;
}

function parseAssignment(tokens: SqlToken[]): Assignment | undefined {
  const [first, second] = tokens;
  if (!first) return undefined;
  if (first.value === 'NAMES' && second) return createNamesAssignment(second);
  if (first.value === 'CHARSET' && second) return createNamesAssignment(second);
  if (first.value === 'CHARACTER' && second?.value === 'SET' && tokens[2]) {
    return createNamesAssignment(tokens[2]);
  }
  if (tokens.slice(0, 2).some(({ value }) => value === 'TRANSACTION')) {
    return { scope: 'transaction', name: 'transaction', value: joinText(tokens) };
  }
  const scope = first.type === 'word' ? scopesByWord[first.value] : undefined;
  return parseVariableAssignment(scope ? tokens.slice(1) : tokens, scope ?? 'session');
}

function createNamesAssignment(charset: SqlToken): Assignment {
  return { scope: 'names', name: 'names', value: readContent(charset).toLowerCase() };
}

function parseVariableAssignment(
  tokens: SqlToken[],
  scope: Assignment['scope'],
): Assignment | undefined {
  const [target, operator, ...value] = tokens;
  if (!target || (operator?.value !== '=' && operator?.value !== ':=') || value.length === 0) {
    return undefined;
  }
  return { ...parseTarget(target, scope), value: readValue(value) };
}

function parseTarget(
  target: SqlToken,
  scope: Assignment['scope'],
): Pick<Assignment, 'scope' | 'name'> {
  const name = readContent(target).toLowerCase();
  if (name.startsWith('@@global.')) return { scope: 'global', name: name.slice(9) };
  if (name.startsWith('@@')) {
    return { scope, name: name.slice(2).replace(/^(session|local)\./, '') };
  }
  if (name.startsWith('@')) return { scope: 'user', name: name.slice(1) };
  return { scope, name };
}

function readValue(tokens: SqlToken[]): string {
  const [only] = tokens;
  return tokens.length === 1 && only?.type === 'string' ? readContent(only) : joinText(tokens);
}

function joinText(tokens: SqlToken[]): string {
  return tokens.map(({ text }) => text).join(' ');
}
