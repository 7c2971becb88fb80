import { REMEMBERED_PATCHES } from '@wisterialift/schema';
import type { ConfigurationObject, ConfigurationPatch } from '@wisterialift/schema';
import { describe, expect, it } from 'vitest';
import {
  EMPTY_CONFIGURATION_OBJECT,
  adoptConfiguration,
  mergePatch,
  preparePatch,
  settlePatch,
} from '..';
import type { PreparedPatch } from '..';

const DATABASE = {
  name: 'a1',
  host: '127.0.0.1',
  port: 4001,
  dataCentre: 'sesto-dc',
  connectionLimit: 30,
  slots: 5,
};
const GROUP = { databases: [DATABASE], user: 'proxy', password: 'secret' };

interface Submission extends Partial<ConfigurationPatch> {
  current?: ConfigurationObject;
}

function submit({ current = EMPTY_CONFIGURATION_OBJECT, ...patch }: Submission): PreparedPatch {
  const defaults = { patchId: 'patch', againstNumber: 0, author: 'operator', changes: {} };
  return preparePatch({ current, patch: { ...defaults, ...patch }, acceptedAt: '2026-01-01' });
}

function accept(submission: Submission): ConfigurationObject {
  const prepared = submit(submission);
  if (prepared.status !== 'ready') throw new Error(`the patch is ${prepared.status}`);
  return prepared.configurationObject;
}

function acceptMany(count: number): ConfigurationObject {
  let current = EMPTY_CONFIGURATION_OBJECT;
  for (let number = 0; number < count; number += 1) {
    current = accept({ current, patchId: `patch-${number + 1}`, againstNumber: number });
  }
  return current;
}

describe('a merge patch', () => {
  // The examples of RFC 7396, appendix A.
  it.each([
    ['{"a":"b"}', '{"a":"c"}', '{"a":"c"}'],
    ['{"a":"b"}', '{"b":"c"}', '{"a":"b","b":"c"}'],
    ['{"a":"b"}', '{"a":null}', '{}'],
    ['{"a":"b","b":"c"}', '{"a":null}', '{"b":"c"}'],
    ['{"a":["b"]}', '{"a":"c"}', '{"a":"c"}'],
    ['{"a":"c"}', '{"a":["b"]}', '{"a":["b"]}'],
    ['{"a":{"b":"c"}}', '{"a":{"b":"d","c":null}}', '{"a":{"b":"d"}}'],
    ['{"a":[{"b":"c"}]}', '{"a":[1]}', '{"a":[1]}'],
    ['["a","b"]', '["c","d"]', '["c","d"]'],
    ['{"a":"b"}', '["c"]', '["c"]'],
    ['{"a":"foo"}', 'null', 'null'],
    ['{"a":"foo"}', '"bar"', '"bar"'],
    ['{"e":null}', '{"a":1}', '{"e":null,"a":1}'],
    ['[1,2]', '{"a":"b","c":null}', '{"a":"b"}'],
    ['{}', '{"a":{"bb":{"ccc":null}}}', '{"a":{"bb":{}}}'],
  ])('makes of %s with %s the value %s', (target, patch, result) => {
    expect(mergePatch(JSON.parse(target), JSON.parse(patch))).toEqual(JSON.parse(result));
  });

  it('does not reach the prototype', () => {
    const merged = mergePatch({}, JSON.parse('{"__proto__":{"isAdmitted":true}}'));
    expect((merged as { isAdmitted?: boolean }).isAdmitted).toBeUndefined();
  });
});

describe('a patch', () => {
  it('brings the next number into force', () => {
    expect(accept({ changes: { groups: { 'archivio-1': GROUP } } })).toMatchSnapshot();
  });

  /*
   * Two operators look at number 1 and each submits a patch. The second to arrive was made without
   * knowledge of the first; if it were merged on top, it would undo a change that its author never saw.
   */
  it('is refused with the present number when it was made against an outdated one', () => {
    const current = accept({ patchId: 'first' });
    expect(submit({ current, patchId: 'second' })).toEqual({
      status: 'outdated',
      presentNumber: 1,
    });
  });

  /*
   * An operator's patch took effect but its answer was lost, so the tool submits it again. The
   * number has moved because of this very patch; calling it outdated would be untrue.
   */
  it('is accepted at its first number when it is submitted twice', () => {
    const current = accept({ patchId: 'once' });
    expect(submit({ current, patchId: 'once' })).toEqual({ status: 'alreadyAccepted', number: 1 });
  });

  /*
   * A patch with one good and four bad changes. If the good one were taken, the operator would have
   * to find out which; if only the first fault were named, it would take four attempts.
   */
  it('is refused whole, with every fault, when it does not pass the schema', () => {
    const prepared = submit({
      changes: {
        groups: {
          'archivio-1': { ...GROUP, databases: [{ ...DATABASE, port: 0, slots: 'five' }] },
        },
        callers: { office: { passwordHash: 'plain text', groups: ['archivio-1'] } },
        unknownKey: true,
      },
    });
    expect(prepared).toMatchSnapshot();
  });

  it('is refused when a caller would reach a group that is no longer there', () => {
    const caller = { passwordHash: 'a'.repeat(40), groups: ['archivio-1'] };
    const current = accept({
      changes: { groups: { 'archivio-1': GROUP }, callers: { office: caller } },
    });
    const removal = { groups: { 'archivio-1': null } };
    expect(submit({ current, patchId: 'removal', againstNumber: 1, changes: removal })).toEqual({
      status: 'invalid',
      faults: [{ path: 'callers.office.groups.0', reason: 'no group is named "archivio-1"' }],
    });
  });

  it('is refused when the whole would not fit into the platform', () => {
    const user = 'é'.repeat(500_000);
    expect(submit({ changes: { groups: { big: { ...GROUP, user } } } })).toMatchObject({
      status: 'invalid',
    });
  });
});

describe('settling a patch whose answer was lost', () => {
  const settle = (configurationObject: ConfigurationObject, patchId: string): unknown =>
    settlePatch({ configurationObject, patchId, againstNumber: 0 });

  it('finds it, or whatever took its place, or neither', () => {
    expect(settle(acceptMany(3), 'patch-1')).toMatchObject({
      status: 'accepted',
      patch: { patchId: 'patch-1', number: 1, author: 'operator' },
    });
    expect(settle(acceptMany(3), 'other')).toEqual({ status: 'refused', presentNumber: 3 });
    expect(settle(EMPTY_CONFIGURATION_OBJECT, 'other')).toEqual({
      status: 'pending',
      presentNumber: 0,
    });
  });

  /*
   * An operator asks about a patch of last year. The object remembers the newest patches only; "not
   * there" must not be told as "refused".
   */
  it('admits that it has forgotten', () => {
    const presentNumber = REMEMBERED_PATCHES + 1;
    expect(settle(acceptMany(presentNumber), 'patch-1')).toEqual({
      status: 'forgotten',
      presentNumber,
    });
  });
});

describe('adopting a configuration', () => {
  /*
   * A proxy has number 3 in force. A slow answer to an older poll arrives with number 2. If it were
   * taken, a caller that was just locked out would get in again.
   */
  it('takes a higher number and never the same or a lower one', () => {
    const candidate = acceptMany(3);
    expect(adoptConfiguration({ currentNumber: 2, candidate })).toMatchObject({
      status: 'adopted',
    });
    expect(adoptConfiguration({ currentNumber: 3, candidate })).toMatchObject({
      status: 'notHigher',
    });
    expect(adoptConfiguration({ currentNumber: 4, candidate })).toMatchObject({
      status: 'notHigher',
    });
  });

  it('refuses what does not pass the schema, whatever its number', () => {
    const candidate = { ...acceptMany(3), configuration: { groups: {} } };
    expect(adoptConfiguration({ currentNumber: undefined, candidate })).toMatchObject({
      status: 'invalid',
    });
  });
});

describe('the members of a group', () => {
  const a = { ...DATABASE, name: 'a', port: 4001 };
  const b = { ...DATABASE, name: 'b', port: 4002 };
  const c = { ...DATABASE, name: 'c', port: 4003 };
  const d = { ...DATABASE, name: 'd', port: 4004 };

  function changeMembers(databases: object[]): PreparedPatch {
    const groups = { archivio: { ...GROUP, databases: [a, b, c] } };
    const current = accept({ patchId: 'first', changes: { groups } });
    return submit({
      current,
      againstNumber: 1,
      changes: { groups: { archivio: { databases } } },
    });
  }

  it('change by one database a patch', () => {
    // An operator replaces one database by another in a single patch. One instance still counts
    // {a, b, c} and confirms a record on b and c; another counts {a, b, d}, promotes with a and d
    // and knows nothing of the record that a technician was told is kept.
    const reason = 'at most one database may be added, removed or moved by one patch';
    const refused = { status: 'invalid', faults: [{ path: 'groups.archivio.databases', reason }] };
    expect(changeMembers([a, b, d])).toEqual(refused);
    expect(changeMembers([a, { ...b, port: 5001 }, { ...c, port: 5002 }])).toEqual(refused);
    expect(changeMembers([a, b, c, d]).status).toBe('ready');
    expect(changeMembers([a, b]).status).toBe('ready');
    expect(changeMembers([a, b, { ...c, leaving: true }]).status).toBe('ready');
  });
});
