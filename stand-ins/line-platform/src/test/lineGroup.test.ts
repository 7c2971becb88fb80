import { beforeEach, describe, expect, it } from 'vitest';
import { createLineGroup } from '../index';
import type { LineGroup, LineMember } from '../index';

let group: LineGroup;

beforeEach(() => {
  group = createLineGroup({ name: 'group-1', ids: ['a', 'b', 'c'], promoteTime: 0, applyDelay: 0 });
});

const member = (id: string): LineMember => group.members.get(id)!;

const listItems = (id: string) => member(id).log.map(({ item }) => item);

function write(id: string, item: string): void {
  group.commit(member(id), [{ item, value: 'v' }]);
}

async function promote(id: string): Promise<void> {
  group.promote(id);
  await expect.poll(() => member(id).role).toBe('primary');
}

describe('a deaf replica', () => {
  it('receives nothing until it can hear, and then the whole log', () => {
    member('c').faults.isDeaf = true;
    write('a', 'lamp-1');
    expect(listItems('b')).toContain('lamp-1');
    expect(listItems('c')).not.toContain('lamp-1');
    member('c').faults.isDeaf = false;
    write('a', 'lamp-2');
    expect(listItems('c')).toEqual(listItems('a'));
  });
});

describe('a primary that returns under another id', () => {
  beforeEach(() => {
    for (const id of ['b', 'c']) member(id).faults.isDeaf = true;
    write('a', 'lamp-1');
    member('a').isUp = false;
    for (const id of ['b', 'c']) member(id).faults.isDeaf = false;
  });

  it('leads its term with its log, which the replicas receive', () => {
    group.restartAs('a', 'd');
    expect(group.members.has('a')).toBe(false);
    expect(member('d')).toMatchObject({ role: 'primary', term: 1, isUp: true });
    expect(listItems('b')).toContain('lamp-1');
    write('d', 'lamp-2');
    expect(listItems('c')).toEqual(listItems('d'));
  });

  it('is a replica if another member was promoted, and loses what that one lacks', async () => {
    await promote('b');
    write('b', 'lamp-2');
    group.restartAs('a', 'd');
    expect(member('d').role).toBe('replica');
    expect(listItems('d')).toEqual(listItems('b'));
    expect(listItems('d')).not.toContain('lamp-1');
  });
});

describe('a replica that returns under another id', () => {
  it('keeps its log and receives what it missed', () => {
    member('c').isUp = false;
    write('a', 'lamp-1');
    group.restartAs('c', 'd');
    expect(member('d').role).toBe('replica');
    expect(listItems('d')).toEqual(listItems('a'));
  });
});
