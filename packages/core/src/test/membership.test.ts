import type { Instance } from '@wisterialift/schema';
import { describe, expect, it } from 'vitest';
import {
  LEAVING_OVERRIDE_MILLISECONDS,
  chooseForwardingTargets,
  orderWatchersToQuery,
  chooseWatchers,
  createInstanceView,
  listInstances,
  isWatcher,
  mergeInstanceList,
  markLeaving,
  orderByRendezvous,
} from '..';
import type { ConfigurationSource, InstanceView } from '..';

const NAMES = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7'];

function instance(name: string, changes: Partial<Instance> = {}): Instance {
  return {
    name,
    dataCentre: 'sesto-dc',
    region: 'lomb-nord',
    peerAddress: `127.0.0.1:${name}`,
    administrationAddress: `127.0.0.1:${name}`,
    state: 'live',
    ...changes,
  };
}

function viewAfter(lists: string[][], start = createInstanceView(instance('p1'))): InstanceView {
  return lists.reduce(
    (view, names) =>
      mergeInstanceList({ view, instances: names.map((name) => instance(name)), now: 0 }),
    start,
  );
}

function describeInstances(view: InstanceView): string[] {
  return listInstances(view).map(({ name, state }) =>
    state === 'live' ? name : `${name} leaving`,
  );
}

describe('rendezvous hashing', () => {
  it('does not depend on the order of the names', () => {
    const order = orderByRendezvous({ key: 'archivio-1', names: NAMES });
    expect(orderByRendezvous({ key: 'archivio-1', names: [...NAMES].reverse() })).toEqual(order);
  });

  it('keeps the order of the others when a name is removed', () => {
    const order = orderByRendezvous({ key: 'archivio-1', names: NAMES });
    const names = NAMES.filter((name) => name !== 'p4');
    expect(orderByRendezvous({ key: 'archivio-1', names })).toEqual(
      order.filter((name) => name !== 'p4'),
    );
  });

  it('distributes the keys evenly over the names', () => {
    const firsts = Array.from({ length: 7_000 }, (unused, key) => {
      const [first] = orderByRendezvous({ key: `group-${key}`, names: NAMES });
      return first;
    });
    NAMES.forEach((name) => {
      const count = firsts.filter((first) => first === name).length;
      expect(count).toBeGreaterThan(850);
      expect(count).toBeLessThan(1_150);
    });
  });
});

describe('chooseWatchers', () => {
  it('chooses two live instances of the data centre', () => {
    const instances = [
      ...['p1', 'p2', 'p3'].map((name) => instance(name)),
      instance('p4', { state: 'leaving' }),
      instance('p5', { dataCentre: 'mestre-dc' }),
    ];
    const watchers = chooseWatchers({ instances, dataCentre: 'sesto-dc' });
    expect(watchers).toHaveLength(2);
    expect(['p1', 'p2', 'p3']).toEqual(expect.arrayContaining(watchers));
    expect(chooseWatchers({ instances, dataCentre: 'mestre-dc' })).toEqual(['p5']);
  });
});

describe('forwarding of a configuration', () => {
  const instances = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7'].map((name, index) =>
    instance(name, { dataCentre: index < 3 ? 'sesto-dc' : 'mestre-dc' }),
  );
  const self = instances[0]!;

  const watchers = chooseWatchers({ instances, dataCentre: 'sesto-dc' });
  const watcher = instances.find(({ name }) => watchers.includes(name))!;
  const other = instances.slice(0, 3).find(({ name }) => !watchers.includes(name))!;

  function listRecipientNames(sender: Instance, source: ConfigurationSource): string[] {
    return chooseForwardingTargets({ self: sender, instances, source }).map(({ name }) => name);
  }

  it('goes from a submitter to its data centre and the watchers of the others', () => {
    const remoteWatchers = chooseWatchers({ instances, dataCentre: 'mestre-dc' });
    expect(listRecipientNames(self, 'patch').sort()).toEqual(
      ['p2', 'p3', ...remoteWatchers].sort(),
    );
  });

  it('goes from a watcher to the other instances of its data centre that do not watch', () => {
    expect(listRecipientNames(watcher, 'platform')).toEqual([other.name]);
    expect(listRecipientNames(watcher, 'peer')).toEqual([other.name]);
  });

  it('goes from another instance to its data centre only if it read the platform itself', () => {
    expect(listRecipientNames(other, 'peer')).toEqual([]);
    expect(listRecipientNames(other, 'platform').sort()).toEqual([...watchers].sort());
  });

  it('uses the watchers of the data centre as sources, and watches if none is known', () => {
    const sources = orderWatchersToQuery({ self, instances }).map(({ name }) => name);
    expect(sources.sort()).toEqual(watchers.filter((name) => name !== 'p1').sort());
    expect(isWatcher({ self, instances })).toBe(watchers.includes('p1'));
    expect(isWatcher({ self, instances: [] })).toBe(true);
  });
});

describe('instance view', () => {
  // An outdated list omits p3, whose connections must not be assigned to others while it is running.
  it('keeps an instance that is missing from a single list', () => {
    expect(describeInstances(viewAfter([['p2', 'p3'], ['p2']]))).toEqual(['p1', 'p2', 'p3']);
    expect(describeInstances(viewAfter([['p2', 'p3'], ['p2'], ['p2']]))).toEqual(['p1', 'p2']);
    expect(describeInstances(viewAfter([['p2', 'p3'], ['p2'], ['p3'], ['p2']]))).toEqual([
      'p1',
      'p2',
      'p3',
    ]);
  });

  it('contains the instance itself even if no list contains it', () => {
    expect(describeInstances(viewAfter([[]]))).toEqual(['p1']);
  });

  // A list may still show a leaving predecessor of the same name; a later drain must take effect.
  it('applies its own leaving state only after a list has shown it as live', () => {
    const drained = [instance('p1', { state: 'leaving' })];
    const merge = (view: InstanceView, instances: Instance[]): InstanceView =>
      mergeInstanceList({ view, instances, now: 0 });
    const fresh = merge(createInstanceView(instance('p1')), drained);
    expect(describeInstances(fresh)).toEqual(['p1']);
    expect(describeInstances(merge(merge(fresh, [instance('p1')]), drained))).toEqual([
      'p1 leaving',
    ]);
  });

  // An older list must not direct new requests to an instance that is about to stop.
  it('lets an announced departure override older lists for a limited time', () => {
    const departed = markLeaving({ view: viewAfter([['p2']]), name: 'p2', now: 0 });
    expect(describeInstances(viewAfter([['p2']], departed))).toEqual(['p1', 'p2 leaving']);
    const later = mergeInstanceList({
      view: departed,
      instances: [instance('p2')],
      now: LEAVING_OVERRIDE_MILLISECONDS,
    });
    expect(describeInstances(later)).toEqual(['p1', 'p2']);
  });
});
