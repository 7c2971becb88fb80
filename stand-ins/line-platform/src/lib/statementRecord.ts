import { isDeepStrictEqual } from 'node:util';
import type { PreparedStatement, RejectedMessage, StatementRun } from './lineDatabase';
import { parseQueryText } from './queryText';
import type { Query } from './queryText';

/** What the session of one caller sends and is told. */
export interface SessionRecord {
  noteSent: (statement: { id: string; text: string }) => void;
  noteAnswer: (id: string, isCompleted: boolean) => void;
}

/** How what a database was sent differs from what a caller sent. */
export interface AlteredStatement {
  rule:
    /** Nobody sent it, or it was sent with another text, item or data. */
    | 'unasked'
    /** It ran with other session values, or under another access or shape. */
    | 'pinned'
    /** Its caller was told of a success, and no database ran it. */
    | 'notRun'
    /** A database could not read it, although its caller sent all fields that it needs. */
    | 'malformed';
  detail: string;
}

/** What all callers sent, to compare with what databases ran. */
export interface StatementRecord {
  openSession: () => SessionRecord;
  compare: (
    runs: readonly StatementRun[],
    rejections: readonly RejectedMessage[],
  ) => AlteredStatement[];
}

interface SentStatement {
  text: string;
  /** Undefined for a text that no database may run. */
  query: Query | undefined;
  values: Record<string, string>;
  /** What its name had been prepared with when it was sent. */
  prepared: PreparedStatement | undefined;
  isCompleted: boolean;
}

const RUN_BY_DATABASES: ReadonlySet<string | undefined> = new Set(['READ', 'WRITE', 'EXECUTE']);

export function createStatementRecord(): StatementRecord {
  const statements = new Map<string, SentStatement>();

  return {
    openSession: () => createSessionRecord(statements),
    compare: (runs, rejections) => {
      const ids = new Set(runs.map(({ id }) => id));
      const notRun = [...statements].filter(
        ([id, { isCompleted, query }]) =>
          isCompleted && RUN_BY_DATABASES.has(query?.verb) && !ids.has(id),
      );
      return [
        ...runs.flatMap((run) => compareRun(run, statements.get(run.id))),
        ...rejections
          .filter(({ id = '' }) => isComplete(statements.get(id)))
          .map(({ id, text }): AlteredStatement => ({
            rule: 'malformed',
            detail: `${id} ${JSON.stringify(text)}`,
          })),
        ...notRun.map(([id, { text }]): AlteredStatement => ({
          rule: 'notRun',
          detail: `${id} ${JSON.stringify(text)}`,
        })),
      ];
    },
  };
}

/** Follows the values and prepared names of a session that waits for each answer. */
function createSessionRecord(statements: Map<string, SentStatement>): SessionRecord {
  const prepared = new Map<string, PreparedStatement>();
  const values = new Map<string, string>();

  const appliers = new Map<string, (fields: Query['fields']) => void>([
    ['SET', ({ name, value }) => values.set(name!, value!)],
    [
      'PREPARE',
      ({ name, access, shape }) => prepared.set(name!, { access: access!, shape: shape! }),
    ],
    ['DEALLOCATE', ({ name }) => prepared.delete(name!)],
  ]);

  return {
    noteSent: ({ id, text }) => {
      const query = parseQueryText(text);
      const named = prepared.get(query?.fields.name ?? '');
      statements.set(id, {
        text,
        query,
        values: Object.fromEntries(values),
        prepared: named,
        isCompleted: false,
      });
    },
    noteAnswer: (id, isCompleted) => {
      const statement = statements.get(id)!;
      Object.assign(statement, { isCompleted });
      const { query } = statement;
      if (isCompleted && query) appliers.get(query.verb)?.(query.fields);
    },
  };
}

/** Whether a database can read it; what no caller sent, an instance composed. */
function isComplete(sent: SentStatement | undefined): boolean {
  if (!sent) return true;
  const { query, prepared } = sent;
  if (query?.verb !== 'EXECUTE') return query !== undefined;
  return (
    prepared === undefined || (prepared.access === 'READ') === (query.fields.data === undefined)
  );
}

function compareRun(run: StatementRun, sent: SentStatement | undefined): AlteredStatement[] {
  const isExecuted = sent?.query?.verb === 'EXECUTE' && run.prepared !== undefined;
  const describe = (
    rule: AlteredStatement['rule'],
    expected: unknown,
    found: unknown,
  ): AlteredStatement => ({
    rule,
    detail: `${run.id}: ${JSON.stringify(found)} instead of ${JSON.stringify(expected)}`,
  });
  if (!sent) return [describe('unasked', undefined, run.text)];
  const { item, data } = sent.query?.fields ?? {};
  const isSame = isExecuted ? run.item === item && run.data === data : run.text === sent.text;
  const altered: AlteredStatement[] = [];
  if (!isSame) altered.push(describe('unasked', sent.text, run.text));
  if (isExecuted && !isDeepStrictEqual(run.prepared, sent.prepared)) {
    altered.push(describe('pinned', sent.prepared, run.prepared));
  }
  if (!isDeepStrictEqual(run.values, sent.values)) {
    altered.push(describe('pinned', sent.values, run.values));
  }
  return altered;
}
