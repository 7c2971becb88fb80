import { MAXIMUM_RETAINED_PATCHES } from '@wisterialift/schema';
import type { ConfigurationObject, ConfigurationPatch } from '@wisterialift/schema';
import { describe, expect, it } from 'vitest';
import {
  EMPTY_CONFIGURATION_OBJECT,
  decideAdoption,
  mergePatch,
  preparePatch,
  findPatchStatus,
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
  if (prepared.status !== 'ready') throw new Error(`unexpected patch status: ${prepared.status}`);
  return prepared.configurationObject;
}

function acceptMany(count: number): ConfigurationObject {
  let current = EMPTY_CONFIGURATION_OBJECT;
  for (let number = 0; number < count; number += 1) {
    current = accept({ current, patchId: `patch-${number + 1}`, againstNumber: number });
  }
  return current;
}

describe('mergePatch', () => {
  // Examples of RFC 7396, appendix A.
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
  ])('applied to %s, the patch %s gives %s', (target, patch, result) => {
    expect(mergePatch(JSON.parse(target), JSON.parse(patch))).toEqual(JSON.parse(result));
  });

  it('does not set the prototype', () => {
    const merged = mergePatch({}, JSON.parse('{"__proto__":{"isAdmitted":true}}'));
    expect((merged as { isAdmitted?: boolean }).isAdmitted).toBeUndefined();
  });
});

describe('preparePatch', () => {
  it('assigns the next number', () => {
    expect(accept({ changes: { groups: { 'archivio-1': GROUP } } })).toMatchSnapshot();
  });

  it('takes a group, a caller and a kind that are named like a member of every object', () => {
    // Guards against a name that no configuration lists and yet is found, and one that is listed in vain.
    const caller = { passwordHash: 'a'.repeat(40), groups: ['constructor'] };
    const named = { groups: { constructor: GROUP }, kinds: { constructor: {} } };
    expect(submit({ changes: { callers: { office: caller } } })).toMatchObject({
      status: 'invalid',
    });
    const current = accept({ changes: { ...named, callers: { constructor: caller } } });
    const changes = { groups: { constructor: null }, callers: { constructor: null } };
    const removed = accept({ current, patchId: 'second', againstNumber: 1, changes });
    expect(Object.keys(removed.removedGroups ?? {})).toEqual(['constructor']);
  });

  // Merging a patch made against an older number could undo a change that its author has not seen.
  it('refuses a patch made against an older number and returns the current one', () => {
    const current = accept({ patchId: 'first' });
    expect(submit({ current, patchId: 'second' })).toEqual({
      status: 'outdated',
      presentNumber: 1,
    });
  });

  // A patch whose answer was lost is submitted again, although it has already changed the number.
  it('returns the original number for a patch that is submitted twice', () => {
    const current = accept({ patchId: 'once' });
    expect(submit({ current, patchId: 'once' })).toEqual({ status: 'alreadyAccepted', number: 1 });
  });

  // A partially valid patch must not be partially applied, and one attempt reports all faults.
  it('refuses an invalid patch as a whole and reports every fault', () => {
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

  it('refuses to remove a group that a caller refers to', () => {
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

  it('refuses a configuration that exceeds the size limit of the platform', () => {
    const user = 'é'.repeat(500_000);
    expect(submit({ changes: { groups: { big: { ...GROUP, user } } } })).toMatchObject({
      status: 'invalid',
    });
  });
});

describe('status of a submitted patch', () => {
  const findStatus = (configurationObject: ConfigurationObject, patchId: string): unknown =>
    findPatchStatus({ configurationObject, patchId, againstNumber: 0 });

  it('distinguishes accepted, refused and pending patches', () => {
    expect(findStatus(acceptMany(3), 'patch-1')).toMatchObject({
      status: 'accepted',
      patch: { patchId: 'patch-1', number: 1, author: 'operator' },
    });
    expect(findStatus(acceptMany(3), 'other')).toEqual({ status: 'refused', presentNumber: 3 });
    expect(findStatus(EMPTY_CONFIGURATION_OBJECT, 'other')).toEqual({
      status: 'pending',
      presentNumber: 0,
    });
  });

  // The object lists only the latest patches, so an older one must not be reported as refused.
  it('reports that the patch history no longer covers the number', () => {
    const presentNumber = MAXIMUM_RETAINED_PATCHES + 1;
    expect(findStatus(acceptMany(presentNumber), 'patch-1')).toEqual({
      status: 'forgotten',
      presentNumber,
    });
  });
});

describe('adoption of a configuration', () => {
  // A delayed answer must not restore an older configuration, for example a revoked caller.
  it('adopts only a higher number', () => {
    const candidate = acceptMany(3);
    expect(decideAdoption({ currentNumber: 2, candidate })).toMatchObject({
      status: 'adopted',
    });
    expect(decideAdoption({ currentNumber: 3, candidate })).toMatchObject({
      status: 'notHigher',
    });
    expect(decideAdoption({ currentNumber: 4, candidate })).toMatchObject({
      status: 'notHigher',
    });
  });

  it('rejects an object that does not match the schema', () => {
    const candidate = { ...acceptMany(3), configuration: { groups: {} } };
    expect(decideAdoption({ currentNumber: undefined, candidate })).toMatchObject({
      status: 'invalid',
    });
  });
});

describe('member changes of a group', () => {
  const a = { ...DATABASE, name: 'a', port: 4001 };
  const b = { ...DATABASE, name: 'b', port: 4002 };
  const c = { ...DATABASE, name: 'c', port: 4003 };
  const d = { ...DATABASE, name: 'd', port: 4004 };
  const e = { ...DATABASE, name: 'e', port: 4005 };
  const account = { user: GROUP.user, password: GROUP.password };

  function changeMembers(databases: object[]): PreparedPatch {
    const groups = { archivio: { ...GROUP, databases: [a, b, c] } };
    const current = accept({ patchId: 'first', changes: { groups } });
    return submitWith({ establishedMemberSets: { archivio: 1 } }, current, databases);
  }

  function submitWith(
    seen: { establishedMemberSets: Record<string, number> },
    current: ConfigurationObject,
    databases: object[],
    settings: object = {},
  ): PreparedPatch {
    const patch = {
      patchId: `patch-${current.number}`,
      againstNumber: current.number,
      author: 'operator',
      changes: { groups: { archivio: { databases, ...settings } } },
    };
    return preparePatch({ current, patch, acceptedAt: '2026-01-01', ...seen });
  }

  function readMemberSet(prepared: PreparedPatch): number | undefined {
    if (prepared.status !== 'ready') throw new Error(`unexpected patch status: ${prepared.status}`);
    return prepared.configurationObject.configuration.groups.archivio?.memberSet;
  }

  it('are limited to one database per patch', () => {
    // With {a, b, c} and {a, b, d} in use at the same time, {b, c} could confirm a write that a
    // promotion by {a, d} loses.
    const reason = 'at most one database may be added, removed or moved by one patch';
    const refused = { status: 'invalid', faults: [{ path: 'groups.archivio.databases', reason }] };
    expect(changeMembers([a, b, d])).toEqual(refused);
    expect(changeMembers([a, { ...b, port: 5001 }, { ...c, port: 5002 }])).toEqual(refused);
    expect(changeMembers([a, b, c, d]).status).toBe('ready');
    expect(changeMembers([a, b]).status).toBe('ready');
    expect(changeMembers([a, b, { ...c, leaving: true }]).status).toBe('ready');
  });

  it('are numbered by the configuration that makes them', () => {
    const groups = { archivio: { ...GROUP, databases: [a, b, c] } };
    const current = accept({ patchId: 'first', changes: { groups } });
    const other = accept({ current, patchId: 'second', againstNumber: 1, changes: { kinds: {} } });
    const seen = { establishedMemberSets: { archivio: 1 } };
    expect(readMemberSet(submitWith(seen, other, [a, b, { ...c, leaving: true }]))).toBe(1);
    expect(readMemberSet(submitWith(seen, other, [a, b, c, d]))).toBe(3);
    expect(readMemberSet(submitWith(seen, other, [a, b, c, d], { memberSet: 0 }))).toBe(3);
  });

  it('are refused while the last one is not established, unless the number is raised', () => {
    // Guards against {a,b,c} and {a,c,d} in use at the same time, whose majorities {a,b} and {c,d} differ.
    const groups = { archivio: { ...GROUP, databases: [a, b, c] } };
    const current = accept({ patchId: 'first', changes: { groups } });
    const seen = { establishedMemberSets: { archivio: 0 } };
    expect(submitWith(seen, current, [a, b]).status).toBe('invalid');
    expect(submitWith({ establishedMemberSets: {} }, current, [a, b]).status).toBe('invalid');
    expect(submitWith(seen, current, [a, b, { ...c, leaving: true }]).status).toBe('ready');
    const raised = submitWith(seen, current, [a, b], { memberSet: 7 });
    expect(readMemberSet(raised)).toBe(7);
    if (raised.status !== 'ready') return;
    const established = { establishedMemberSets: { archivio: 7 } };
    expect(readMemberSet(submitWith(established, raised.configurationObject, [a]))).toBe(8);
  });

  it('are not hidden by removing the group and adding it again', () => {
    // Guards against {a,b,c} and {c,d,e} in use at the same time: a write that {a,b} confirms is lost by {d,e}.
    const groups = { archivio: { ...GROUP, databases: [a, b, c] } };
    const present = accept({ patchId: 'first', changes: { groups } });
    const removal = {
      patchId: 'second',
      againstNumber: 1,
      changes: { groups: { archivio: null } },
    };
    const removed = accept({ current: present, ...removal });
    const other = { patchId: 'third', againstNumber: 2, changes: { kinds: {} } };
    const current = accept({ current: removed, ...other });
    const add = (databases: object[], settings: object = {}) =>
      submitWith({ establishedMemberSets: {} }, current, databases, { ...settings, ...account });
    expect(add([c, d, e])).toMatchObject({
      status: 'invalid',
      faults: [{ path: 'groups.archivio.databases' }],
    });
    expect(add([a, b, { ...c, port: 5003 }]).status).toBe('invalid');
    expect(add([c, d, e], { memberSet: 1 }).status).toBe('invalid');
    expect(readMemberSet(add([a, b, c]))).toBe(4);
    expect(readMemberSet(add([c, d, e], { memberSet: 2 }))).toBe(4);
  });

  it('go on from the number that a removed group had', () => {
    // Guards against a group whose databases have terms above all that an instance may use.
    const groups = { archivio: { ...GROUP, databases: [a], memberSet: 700 } };
    const present = accept({ patchId: 'first', changes: { groups } });
    const removal = {
      patchId: 'second',
      againstNumber: 1,
      changes: { groups: { archivio: null } },
    };
    const removed = accept({ current: present, ...removal });
    const added = submitWith({ establishedMemberSets: {} }, removed, [a], account);
    expect(readMemberSet(added)).toBe(701);
    if (added.status !== 'ready') return;
    expect(added.configurationObject.removedGroups).toBeUndefined();
  });
});
