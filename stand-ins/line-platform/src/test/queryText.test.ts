import { describe, expect, it } from 'vitest';
import { parseQueryText } from '../lib/queryText';

describe('a query text', () => {
  it.each([
    ['BEGIN', {}],
    ['BEGIN READ', { mode: 'READ' }],
    ['COMMIT', {}],
    ['READ lamp 1 ', { item: 'lamp 1 ' }],
    ['READ  lamp', { item: ' lamp' }],
    ['READ a\rb\nc', { item: 'a\rb\nc' }],
    ['WRITE lamp a  b ', { item: 'lamp', data: 'a  b ' }],
    ['WRITE lamp ', { item: 'lamp', data: '' }],
    ['SET constructor ', { name: 'constructor', value: '' }],
    [
      'SET __proto__ x y',
      Object.fromEntries([
        ['name', '__proto__'],
        ['value', 'x y'],
      ]),
    ],
    ['PREPARE s1 READ q29 READ x', { name: 's1', access: 'READ', shape: 'q29 READ x' }],
    ['EXECUTE s1 lamp', { name: 's1', item: 'lamp' }],
    ['EXECUTE s1 lamp a b', { name: 's1', item: 'lamp', data: 'a b' }],
    ['DEALLOCATE s 1', { name: 's 1' }],
    ['DEMOTE 9', { term: '9' }],
  ])('%j has words up to its last field, which extends to the end', (text, fields) => {
    expect(parseQueryText(text)).toEqual({ verb: text.split(' ')[0], fields, text });
  });

  it.each(['READ lamp', 'EXECUTE s1 lamp', 'BEGIN READ'])(
    'may be preceded by a position: %s',
    (text) => {
      const query = parseQueryText(text);
      const after = { term: 3, index: 17 };
      expect(parseQueryText(`AFTER 3.17 ${text}`)).toEqual({ ...query, after });
    },
  );

  it.each([
    '',
    'constructor lamp',
    '__proto__',
    'read lamp',
    'COMMIT now',
    'COMMIT ',
    'BEGIN WRITE',
    'READ',
    'READ ',
    'WRITE lamp',
    'WRITE  data',
    'SET name',
    'PREPARE s1 q29',
    'PREPARE s1 DELETE q29',
    'PREPARE s1 READ ',
    'EXECUTE s1',
    'EXECUTE s1 ',
    'EXECUTE  lamp',
    'PAUSE 1e9',
    'AFTER 3.17 WRITE lamp data',
    'AFTER 3 READ lamp',
    'AFTER 3.17  READ lamp',
    'AFTER 3.17 AFTER 3.17 READ lamp',
  ])('%j is refused for a field too few, too many or of another kind', (text) => {
    expect(parseQueryText(text)).toBeUndefined();
  });
});
