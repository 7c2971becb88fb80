import { expect, it } from 'vitest';
import { createStatementRecord } from '../index';
import type { PreparedStatement, RejectedMessage, StatementRun } from '../index';

const RUN: StatementRun = {
  memberId: 'a',
  connection: 1,
  client: 'tester',
  id: '3',
  text: 'EXECUTE p1 lamp a b',
  item: 'lamp',
  data: 'a b',
  prepared: { access: 'WRITE', shape: 'q29 READ x' },
  values: { region: 'north' },
  transaction: undefined,
  at: 0,
};

const prepared = (shape: string): PreparedStatement => ({ access: 'WRITE', shape });

const TEXTS = ['SET region north', 'PREPARE s1 WRITE q29 READ x', 'EXECUTE s1 lamp a b'];

function compare(changes: Partial<StatementRun>, rejections: RejectedMessage[] = []) {
  const record = createStatementRecord();
  const session = record.openSession();
  TEXTS.forEach((text, index) => {
    session.noteSent({ id: `${index + 1}`, text });
    session.noteAnswer(`${index + 1}`, true);
  });
  session.noteSent({ id: '9', text: 'EXECUTE s1 lamp' });
  session.noteAnswer('9', false);
  return record.compare([{ ...RUN, ...changes }], rejections).map(({ rule }) => rule);
}

it('finds nothing where a database ran what was sent', () => {
  expect(compare({})).toEqual([]);
});

// Guards against a comparison that overlooks one part of a run.
it.each<[Partial<StatementRun>, string[]]>([
  [{ id: '4' }, ['unasked', 'notRun']],
  [{ item: 'READ' }, ['unasked']],
  [{ data: 'x a b' }, ['unasked']],
  [{ text: 'WRITE lamp a b', prepared: undefined }, ['unasked']],
  [{ prepared: prepared('q29') }, ['pinned']],
  [{ prepared: { ...prepared('q29 READ x'), access: 'READ' } }, ['pinned']],
  [{ values: {} }, ['pinned']],
  [{ values: { region: 'north', extra: '' } }, ['pinned']],
])('finds a run that differs: %j', (changes, rules) => {
  expect(compare(changes)).toEqual(rules);
});

it.each([
  ['3', ['malformed']],
  ['-', ['malformed']],
  [undefined, ['malformed']],
  ['9', []],
])('finds what a database cannot read, unless its caller sent it so: id %s', (id, rules) => {
  expect(compare({}, [{ reason: 'malformed', id, text: '' }])).toEqual(rules);
});
