import type { Instance } from '@wisterialift/schema';
import { describe, expect, it } from 'vitest';
import {
  LEAVING_OVERRIDE_MILLISECONDS,
  chooseAudience,
  chooseSources,
  chooseWatchers,
  createInstanceView,
  instancesOf,
  isWatcher,
  mergeInstanceList,
  mergeLeaving,
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
  return instancesOf(view).map(({ name, state }) => (state === 'live' ? name : `${name} leaving`));
}

describe('rendezvous hashing', () => {
  it('finds the same order from any order of the names', () => {
    const order = orderByRendezvous({ key: 'archivio-1', names: NAMES });
    expect(orderByRendezvous({ key: 'archivio-1', names: [...NAMES].reverse() })).toEqual(order);
  });

  it('keeps the order of the others when one goes', () => {
    const order = orderByRendezvous({ key: 'archivio-1', names: NAMES });
    const names = NAMES.filter((name) => name !== 'p4');
    expect(orderByRendezvous({ key: 'archivio-1', names })).toEqual(
      order.filter((name) => name !== 'p4'),
    );
  });

  it('spreads the keys over the names', () => {
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

describe('the watchers of a data centre', () => {
  it('are two of its live instances', () => {
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

describe('the audience of a configuration', () => {
  const instances = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7'].map((name, index) =>
    instance(name, { dataCentre: index < 3 ? 'sesto-dc' : 'mestre-dc' }),
  );
  const self = instances[0]!;

  const watchers = chooseWatchers({ instances, dataCentre: 'sesto-dc' });
  const watcher = instances.find(({ name }) => watchers.includes(name))!;
  const other = instances.slice(0, 3).find(({ name }) => !watchers.includes(name))!;

  function listRecipientNames(sender: Instance, source: ConfigurationSource): string[] {
    return chooseAudience({ self: sender, instances, source }).map(({ name }) => name);
  }

  it('is the own data centre and the watchers of the others, for a submitter', () => {
    const remoteWatchers = chooseWatchers({ instances, dataCentre: 'mestre-dc' });
    expect(listRecipientNames(self, 'patch').sort()).toEqual(
      ['p2', 'p3', ...remoteWatchers].sort(),
    );
  });

  it('is whoever does not watch in the own data centre, for a watcher', () => {
    expect(listRecipientNames(watcher, 'platform')).toEqual([other.name]);
    expect(listRecipientNames(watcher, 'peer')).toEqual([other.name]);
  });

  it('is nobody for one that was told by a watcher, and all for one that had to ask itself', () => {
    expect(listRecipientNames(other, 'peer')).toEqual([]);
    expect(listRecipientNames(other, 'platform').sort()).toEqual([...watchers].sort());
  });

  it('asks the watchers of its data centre, and watches itself when it knows of none', () => {
    const sources = chooseSources({ self, instances }).map(({ name }) => name);
    expect(sources.sort()).toEqual(watchers.filter((name) => name !== 'p1').sort());
    expect(isWatcher({ self, instances })).toBe(watchers.includes('p1'));
    expect(isWatcher({ self, instances: [] })).toBe(true);
  });
});

describe('the view of the instances', () => {
  /*
   * A proxy asks twice and is answered by two copies of the list, the second older than the first:
   * p3 seems to go and come back. Its connections would be given to others while it still holds them.
   */
  it('keeps an instance that a single list does not name', () => {
    expect(describeInstances(viewAfter([['p2', 'p3'], ['p2']]))).toEqual(['p1', 'p2', 'p3']);
    expect(describeInstances(viewAfter([['p2', 'p3'], ['p2'], ['p2']]))).toEqual(['p1', 'p2']);
    expect(describeInstances(viewAfter([['p2', 'p3'], ['p2'], ['p3'], ['p2']]))).toEqual([
      'p1',
      'p2',
      'p3',
    ]);
  });

  it('holds the instance itself though no list names it yet', () => {
    expect(describeInstances(viewAfter([[]]))).toEqual(['p1']);
  });

  /*
   * p1 is replaced by another of the same name, while the list still shows the leaving of the first.
   * The new one must not stop for it; an operator's drain, marked later, must be heeded.
   */
  it('heeds its own leaving only after a list has shown it live', () => {
    const drained = [instance('p1', { state: 'leaving' })];
    const merge = (view: InstanceView, instances: Instance[]): InstanceView =>
      mergeInstanceList({ view, instances, now: 0 });
    const fresh = merge(createInstanceView(instance('p1')), drained);
    expect(describeInstances(fresh)).toEqual(['p1']);
    expect(describeInstances(merge(merge(fresh, [instance('p1')]), drained))).toEqual([
      'p1 leaving',
    ]);
  });

  /*
   * p2 tells its peers that it leaves, then a list from before that arrives and shows it live. New
   * work would go to an instance that is about to stop.
   */
  it('believes an announced leaving against an older list, for a while', () => {
    const left = mergeLeaving({ view: viewAfter([['p2']]), name: 'p2', now: 0 });
    expect(describeInstances(viewAfter([['p2']], left))).toEqual(['p1', 'p2 leaving']);
    const later = mergeInstanceList({
      view: left,
      instances: [instance('p2')],
      now: LEAVING_OVERRIDE_MILLISECONDS,
    });
    expect(describeInstances(later)).toEqual(['p1', 'p2']);
  });
});
