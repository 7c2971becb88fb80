/** Fields of a query text in their order; the last one extends to the end of the line. */
interface Form {
  required: readonly string[];
  optional?: string;
}

/** The query texts of the protocol, by their verb. */
const FORMS = {
  BEGIN: { required: [], optional: 'mode' },
  COMMIT: { required: [] },
  ROLLBACK: { required: [] },
  READ: { required: ['item'] },
  WRITE: { required: ['item', 'data'] },
  SET: { required: ['name', 'value'] },
  PREPARE: { required: ['name', 'access', 'shape'] },
  EXECUTE: { required: ['name', 'item'], optional: 'data' },
  DEALLOCATE: { required: ['name'] },
  RESET: { required: [] },
  STATUS: { required: [] },
  PAUSE: { required: ['term'] },
  RESUME: { required: [] },
  DEMOTE: { required: ['term'] },
} as const satisfies Record<string, Form>;

type Forms = typeof FORMS;

/** First word of a query text. */
export type QueryVerb = keyof Forms;

type OptionalField<Verb extends QueryVerb> = Forms[Verb] extends {
  optional: infer Name extends string;
}
  ? Name
  : never;

/** Fields of a query text by name. */
export type QueryFields<Verb extends QueryVerb = QueryVerb> = Record<
  Forms[Verb]['required'][number],
  string
> &
  Partial<Record<OptionalField<Verb>, string>>;

/** A query text as a database reads it. */
export interface Query {
  verb: QueryVerb;
  fields: Partial<Record<string, string>>;
  /** The text without the position that it may be preceded by. */
  text: string;
  /** Position that the log must hold. */
  after?: { term: number; index: number };
}

/** Fields that hold any text, also an empty one. */
const FREE_FIELDS: ReadonlySet<string> = new Set(['data', 'value']);

/** Fields that hold one of a few texts. */
const FIELD_PATTERNS = new Map([
  ['mode', /^READ$/],
  ['access', /^(READ|WRITE)$/],
  ['term', /^\d+$/],
]);

const VERBS_AFTER_POSITION: ReadonlySet<string> = new Set(['READ', 'EXECUTE', 'BEGIN']);

const POSITION_PREFIX = /^AFTER (?<term>\d+)\.(?<index>\d+) /;

/** Splits off words at single blanks; the last part keeps its blanks. */
export function splitFields(text: string, most: number): string[] {
  const parts: string[] = [];
  let rest = text;
  while (parts.length < most - 1 && rest.includes(' ')) {
    const blank = rest.indexOf(' ');
    parts.push(rest.slice(0, blank));
    rest = rest.slice(blank + 1);
  }
  return [...parts, rest];
}

/** @returns undefined for a text of another form, with a field too few or too many. */
export function parseQueryText(text: string): Query | undefined {
  const position = POSITION_PREFIX.exec(text);
  if (!position) return parseStatement(text);
  const query = parseStatement(text.slice(position[0].length));
  if (!query || !VERBS_AFTER_POSITION.has(query.verb)) return undefined;
  const { term, index } = position.groups!;
  return { ...query, after: { term: Number(term), index: Number(index) } };
}

function parseStatement(text: string): Query | undefined {
  const [verb = '', rest] = splitFields(text, 2);
  if (!isVerb(verb)) return undefined;
  const { required, optional }: Form = FORMS[verb];
  const names = optional ? [...required, optional] : required;
  const parts = rest === undefined ? [] : splitFields(rest, names.length);
  if (parts.length < required.length || parts.length > names.length) return undefined;
  const fields = Object.fromEntries(parts.map((part, index) => [names[index]!, part]));
  return Object.entries(fields).every(isFieldValid) ? { verb, fields, text } : undefined;
}

function isVerb(word: string): word is QueryVerb {
  return Object.hasOwn(FORMS, word);
}

function isFieldValid([name, value]: [string, string]): boolean {
  if (value === '') return FREE_FIELDS.has(name);
  return FIELD_PATTERNS.get(name)?.test(value) ?? true;
}
