import { setTimeout as delay } from 'node:timers/promises';
import type { PeerClient } from '@wisterialift/peer';
import { PlatformUnavailableError } from '@wisterialift/platform';
import type { PlatformClient } from '@wisterialift/platform';
import { CONFIGURATION_OBJECT, GROUP_OBJECT_KIND } from '@wisterialift/schema';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { addSevenInstances, createFleet, createPatch } from './configurationFleet';
import type { Fleet, FleetInstance } from './configurationFleet';

let fleet: Fleet;

beforeEach(async () => {
  fleet = await createFleet();
});

afterEach(async () => {
  await fleet.stop();
});

const POLL_OPTIONS = { timeout: 20_000 };

/** Lag of the platform's list of instances. */
const LIST_LAG_MILLISECONDS = 2_000;

async function waitForNumber(
  number: number,
  fleetInstances: FleetInstance[] = fleet.instances,
): Promise<void> {
  const numbers = (): (number | undefined)[] =>
    fleetInstances.map(({ task }) => task.current()?.number ?? undefined);
  await expect.poll(numbers, POLL_OPTIONS).toEqual(fleetInstances.map(() => number));
}

async function waitForInstances(
  count: number,
  fleetInstances: FleetInstance[] = fleet.instances,
): Promise<void> {
  const counts = (): number[] => fleetInstances.map(({ instances }) => instances().length);
  await expect.poll(counts, POLL_OPTIONS).toEqual(fleetInstances.map(() => count));
}

function expectNoReversal(): void {
  fleet.instances.forEach(({ adoptedNumbers }) => {
    expect(adoptedNumbers).toEqual(
      [...new Set(adoptedNumbers)].sort((left, right) => left - right),
    );
  });
}

/**
 * Fails all platform calls of one instance while `isPartitioned` returns true, before they are sent
 * or when their answer arrives.
 */
function withPartition(platform: PlatformClient, isPartitioned: () => boolean): PlatformClient {
  const failIfPartitioned = (): void => {
    if (isPartitioned()) throw new PlatformUnavailableError('cut off', { mayHaveApplied: false });
  };
  const entries = Object.entries(platform).map(([name, call]) => [
    name,
    async (...callArguments: unknown[]) => {
      failIfPartitioned();
      const answer: unknown = await call(...callArguments);
      failIfPartitioned();
      return answer;
    },
  ]);
  return Object.fromEntries(entries);
}

describe('a patch', () => {
  it('is adopted by seven instances in three data centres', async () => {
    const [first] = await addSevenInstances(fleet);
    await waitForInstances(7);
    expect(await first!.task.submitPatch(createPatch())).toEqual({
      status: 'accepted',
      number: 1,
    });
    await waitForNumber(1);
    const numbers = await first!.task.instanceNumbers();
    expect(numbers.map(({ number }) => number)).toEqual([1, 1, 1, 1, 1, 1, 1]);
  });

  // Guards against accepting both of two concurrent patches against the same number: the second
  // could undo a change that its author has not seen.
  it('is accepted from one of two operators who submit at the same moment', async () => {
    await addSevenInstances(fleet);
    await waitForInstances(7);
    for (let round = 0; round < 5; round += 1) {
      const outcomes = await Promise.all(
        fleet.instances
          .slice(0, 2)
          .map(({ name, task }) =>
            task.submitPatch(createPatch({ patchId: `${name}-${round}`, againstNumber: round })),
          ),
      );
      expect(outcomes.map(({ status }) => status).sort()).toEqual(['accepted', 'outdated']);
      expect(outcomes).toContainEqual({ status: 'outdated', presentNumber: round + 1 });
      await waitForNumber(round + 1);
    }
    expectNoReversal();
  });

  // Guards against reporting a stored patch as failed, or storing it twice, after its answer was
  // lost.
  it('is accepted once when the answer was lost after it took effect', async () => {
    const instance = await fleet.add({ name: 'p1', isStarted: false });
    fleet.platform.changeFaults({ loseAnswers: 1 });
    expect(await instance.task.submitPatch(createPatch())).toEqual({
      status: 'accepted',
      number: 1,
    });
    expect(instance.task.history()).toHaveLength(1);
    expect(fleet.platform.calls().putObject).toBe(1);
  });

  // Guards against reporting any definite outcome if the answer is lost and the platform goes down.
  it('is unknown when the platform goes down after a lost answer, and settled by its id', async () => {
    const goDownAfterUpdate = (platform: PlatformClient): PlatformClient => ({
      ...platform,
      putObject: async (update) => {
        try {
          return await platform.putObject(update);
        } finally {
          fleet.platform.changeFaults({ outage: true });
        }
      },
    });
    const options = { name: 'p1', isStarted: false, wrapPlatform: goDownAfterUpdate };
    const instance = await fleet.add(options);
    fleet.platform.changeFaults({ loseAnswers: 1 });
    expect(await instance.task.submitPatch(createPatch())).toEqual({
      status: 'unknown',
      patchId: 'patch-1',
    });
    expect(await instance.task.findPatch('patch-1', 0)).toEqual({ status: 'unknown' });
    fleet.platform.changeFaults({ outage: false });
    expect(await instance.task.findPatch('patch-1', 0)).toMatchObject({
      status: 'accepted',
      patch: { number: 1 },
    });
    expect(await instance.task.findPatch('other', 0)).toEqual({
      status: 'refused',
      presentNumber: 1,
    });
  });

  // Guards against an outcome that stays unknown although a peer has the configuration with the
  // patch.
  it('is settled by the configuration of a peer when the instance cannot reach the platform', async () => {
    let isPartitioned = false;
    const wrapPlatform = (platform: PlatformClient): PlatformClient => ({
      ...withPartition(platform, () => isPartitioned),
      putObject: async (update) => {
        isPartitioned = true;
        await platform.putObject(update);
        throw new PlatformUnavailableError('lost', { mayHaveApplied: true });
      },
    });
    const instance = await fleet.add({ name: 'p1', wrapPlatform });
    await fleet.add({ name: 'p2' });
    await waitForInstances(2);
    const { status } = await instance.task.submitPatch(createPatch());
    expect(['unknown', 'accepted']).toContain(status);
    await expect
      .poll(() => instance.task.findPatch('patch-1', 0), POLL_OPTIONS)
      .toMatchObject({ status: 'accepted' });
  });

  it('is unknown when the platform was down from the start, and pending after the outage', async () => {
    const instance = await fleet.add({ name: 'p1', isStarted: false });
    fleet.platform.changeFaults({ outage: true });
    expect(await instance.task.submitPatch(createPatch())).toEqual({
      status: 'unknown',
      patchId: 'patch-1',
    });
    fleet.platform.changeFaults({ outage: false });
    expect(await instance.task.findPatch('patch-1')).toEqual({
      status: 'pending',
      presentNumber: 0,
    });
  });

  // Guards against applying only the valid changes of a patch.
  it('is rejected completely, with every fault, when it does not pass the schema', async () => {
    const instance = await fleet.add({ name: 'p1' });
    const changes = {
      kinds: { history: { maximumStalenessMilliseconds: 5_000 }, urgent: { priority: 11 } },
      callers: { office: { passwordHash: 'x', groups: [] } },
    };
    const outcome = await instance.task.submitPatch(createPatch({ changes }));
    expect(outcome).toMatchObject({ status: 'invalid' });
    const paths = outcome.status === 'invalid' ? outcome.faults.map(({ path }) => path) : [];
    expect(paths.sort()).toEqual([
      'callers.office.groups',
      'callers.office.passwordHash',
      'kinds.urgent.priority',
    ]);
    expect(fleet.platform.calls().putObject).toBe(0);
  });
});

describe('the configuration of an instance', () => {
  // Guards against a new instance that rejects callers during a platform outage although its peers
  // have the configuration.
  it('comes from a peer when the platform is down at the start', async () => {
    const old = await fleet.add({ name: 'p1' });
    await old.task.submitPatch(createPatch());
    await waitForNumber(1);
    fleet.platform.changeFaults({ outage: true });
    const seeds = ['127.0.0.1:1', old.peerAddress];
    const fresh = await fleet.add({ name: 'p2', dataCentre: 'mestre-dc', seeds });
    await waitForNumber(1, [fresh]);
    await expect.poll(() => fresh.instances().length, POLL_OPTIONS).toBe(2);
    fleet.platform.changeFaults({ outage: false });
    await waitForInstances(2);
    await old.task.submitPatch(createPatch({ patchId: 'patch-2', againstNumber: 1 }));
    await waitForNumber(2);
  });

  // Guards against a delayed announcement of an older number that reverts an accepted patch.
  it('is not replaced by a delayed lower number', async () => {
    const instance = await fleet.add({ name: 'p1' });
    await instance.task.submitPatch(createPatch());
    const late = instance.task.current();
    await instance.task.submitPatch(createPatch({ patchId: 'patch-2', againstNumber: 1 }));
    expect(instance.task.peerHandlers.onConfigurationAnnounced(late)).toBe(2);
    expect(instance.task.current()).toMatchObject({ number: 2 });
    expect(instance.adoptedNumbers).toEqual([1, 2]);
  });

  it('does not change when an invalid object is written at the platform', async () => {
    const instance = await fleet.add({ name: 'p1' });
    await instance.task.submitPatch(createPatch());
    const update = { ...CONFIGURATION_OBJECT, expectedVersion: 1, value: { number: 2 } };
    await fleet.client.putObject(update);
    const isRefused = (): boolean =>
      instance.events.some(({ name }) => name === 'configurationRefused');
    await expect.poll(isRefused, POLL_OPTIONS).toBe(true);
    expect(instance.task.current()).toMatchObject({ number: 1 });
  });

  // Guards against an instance that keeps an old configuration after a lost announcement.
  it('reaches instances without any announcement', async () => {
    const lossy = (peers: PeerClient): PeerClient => ({
      ...peers,
      announceConfiguration: () => Promise.reject(new Error('lost')),
    });
    for (const name of ['p1', 'p2', 'p3', 'p4']) await fleet.add({ name, wrapPeers: lossy });
    await waitForInstances(4);
    await fleet.instances[0]!.task.submitPatch(createPatch());
    await waitForNumber(1);
  });

  // Guards against instances that keep polling watchers which have lost the platform: answers
  // beyond the age limit must not count as up to date.
  it('reaches a data centre whose watchers cannot reach the platform', async () => {
    let isPartitioned = false;
    let farAddress = '';
    const roles = new Map<string, () => boolean>();
    const wrapPeers = (peers: PeerClient): PeerClient => ({
      ...peers,
      fetchConfiguration: (address, number) =>
        address === farAddress
          ? Promise.reject(new Error('cut off'))
          : peers.fetchConfiguration(address, number),
    });
    const addNear = async (name: string): Promise<void> => {
      const isPartitionedWatcher = (): boolean => isPartitioned && roles.get(name)!();
      const wrapPlatform = (platform: PlatformClient): PlatformClient =>
        withPartition(platform, isPartitionedWatcher);
      const instance = await fleet.add({ name, wrapPlatform, wrapPeers });
      roles.set(name, () => isWatcher(instance));
    };
    for (const name of ['p1', 'p2', 'p3', 'p4']) await addNear(name);
    await waitForInstances(4);
    const count = (): number => fleet.instances.filter(isWatcher).length;
    await expect.poll(count, POLL_OPTIONS).toBe(2);
    isPartitioned = true;
    const far = await fleet.add({
      name: 'p5',
      dataCentre: 'mestre-dc',
      wrapPeers: withoutAnnouncements,
    });
    farAddress = far.peerAddress;
    await far.task.submitPatch(createPatch());
    await waitForNumber(1);
  });

  // Guards against platform calls that grow with the number of instances, also before the first
  // configuration.
  it('is watched at the platform only by the watchers', async () => {
    await fleet.stop();
    fleet = await createFleet({ watchMilliseconds: 60_000 });
    const queryCounts = new Map<string, number>();
    const add = (name: string): Promise<FleetInstance> =>
      fleet.add({ name, wrapPeers: (peers) => countQueries(peers, name, queryCounts) });
    for (const name of ['p1', 'p2', 'p3', 'p4', 'p5']) await add(name);
    await waitForInstances(5);
    await expect.poll(() => fleet.instances.filter(isWatcher).length, POLL_OPTIONS).toBe(2);
    const others = fleet.instances.filter((instance) => !isWatcher(instance));
    const waitForQueries = async (count: number): Promise<void> => {
      queryCounts.clear();
      const hasQueried = ({ name }: FleetInstance): boolean =>
        (queryCounts.get(name) ?? 0) >= count;
      await expect.poll(() => others.every(hasQueried), POLL_OPTIONS).toBe(true);
    };
    await waitForQueries(4);
    const { watchObject } = fleet.platform.calls();
    await waitForQueries(4);
    expect(fleet.platform.calls().watchObject).toBe(watchObject);
  });

  it('survives a platform outage and a slow platform', async () => {
    const [first] = await addSevenInstances(fleet);
    await waitForInstances(7);
    await first!.task.submitPatch(createPatch());
    await waitForNumber(1);
    fleet.platform.changeFaults({ outage: true });
    const hasLostPlatform = ({ events }: FleetInstance): boolean =>
      events.some(({ name }) => name === 'platformUnavailable');
    await expect.poll(() => fleet.instances.some(hasLostPlatform), POLL_OPTIONS).toBe(true);
    expect(first!.task.current()).toMatchObject({ number: 1 });
    fleet.platform.changeFaults({ outage: false, delayMilliseconds: 200 });
    const next = createPatch({ patchId: 'patch-2', againstNumber: 1 });
    expect(await first!.task.submitPatch(next)).toEqual({ status: 'accepted', number: 2 });
    await waitForNumber(2);
    expectNoReversal();
  });
});

/** Whether the last recorded role of an instance is watcher. */
function isWatcher({ events }: FleetInstance): boolean {
  const change = events.findLast(({ name }) => name === 'watchRoleChanged');
  return change?.name === 'watchRoleChanged' ? change.isWatcher : true;
}

/** Counts the configuration queries of an instance to its peers. */
function countQueries(
  peers: PeerClient,
  name: string,
  queryCounts: Map<string, number>,
): PeerClient {
  return {
    ...peers,
    fetchConfiguration: (address, number) => {
      queryCounts.set(name, (queryCounts.get(name) ?? 0) + 1);
      return peers.fetchConfiguration(address, number);
    },
  };
}

/** Drops all configuration announcements of an instance. */
function withoutAnnouncements(peers: PeerClient): PeerClient {
  return { ...peers, announceConfiguration: () => Promise.reject(new Error('lost')) };
}

describe('the instances that an instance knows', () => {
  // Guards against a configuration that does not reach every instance while the list of instances
  // lags. The list of each instance then contains only itself, and it acts as a watcher.
  it('are only itself while the list lags, and all when it has caught up', async () => {
    fleet.platform.changeFaults({ instanceLagMilliseconds: 600_000 });
    const [first] = await addSevenInstances(fleet);
    await first!.task.submitPatch(createPatch());
    await waitForNumber(1);
    expect(fleet.instances.map(({ instances }) => instances().length)).toEqual([
      1, 1, 1, 1, 1, 1, 1,
    ]);
    fleet.platform.changeFaults({ instanceLagMilliseconds: 0 });
    await waitForInstances(7);
  });

  // Guards against work being sent to a stopping instance until the lagging list shows that it
  // leaves.
  it('include an announced leaving before the list does, and omit stopped instances', async () => {
    const [first, second] = await addSevenInstances(fleet);
    await waitForInstances(7);
    await delay(LIST_LAG_MILLISECONDS);
    fleet.platform.changeFaults({ instanceLagMilliseconds: LIST_LAG_MILLISECONDS });
    await first!.task.announceLeaving();
    const getStateAtSecond = (): string | undefined =>
      second!.instances().find(({ name }) => name === 'p1')?.state;
    expect(getStateAtSecond()).toBe('leaving');
    await first!.stop();
    fleet.platform.changeFaults({ instanceLagMilliseconds: 0 });
    await waitForInstances(6, fleet.instances.slice(1));
  });
});

describe('a published primary', () => {
  const published = { group: 'archivio-1', term: 4, primary: 'a2' };
  const KEY = { kind: GROUP_OBJECT_KIND, name: 'archivio-1' };

  async function fetchPublishedPrimary(): Promise<unknown> {
    const object = await fleet.client.getObject(KEY);
    return object?.value;
  }

  // Guards against a promotion that the peers learn only after a platform outage, or that is never
  // published after it.
  it('reaches the peers during an outage and the platform after it', async () => {
    const [first, ...others] = await addSevenInstances(fleet);
    await waitForInstances(7);
    fleet.platform.changeFaults({ outage: true });
    await first!.task.publishPrimary({ ...published, promotedBy: 'p1' });
    expect(others.map(({ primaries }) => primaries)).toEqual(others.map(() => [published]));
    fleet.platform.changeFaults({ outage: false });
    await expect
      .poll(fetchPublishedPrimary, POLL_OPTIONS)
      .toEqual({ ...published, promotedBy: 'p1' });
  });

  // Guards against a delayed publication of an older term that overwrites a newer primary.
  it('does not replace one with a higher term', async () => {
    const instance = await fleet.add({ name: 'p1' });
    const newer = { ...published, term: 5, primary: 'a3', promotedBy: 'p2' };
    await fleet.client.putObject({ ...KEY, expectedVersion: 0, value: newer });
    const { getObject } = fleet.platform.calls();
    await instance.task.publishPrimary({ ...published, promotedBy: 'p1' });
    await expect
      .poll(() => fleet.platform.calls().getObject, POLL_OPTIONS)
      .toBeGreaterThan(getObject);
    await instance.task.publishPrimary({ ...published, term: 6, promotedBy: 'p1' });
    await expect.poll(fetchPublishedPrimary, POLL_OPTIONS).toMatchObject({ term: 6 });
    expect(await fleet.client.getObject(KEY)).toMatchObject({ version: 2 });
  });
});
