import {
  MISSED_LISTS_LIMIT,
  orderWatchersToQuery,
  createInstanceView,
  listInstances,
  isWatcher,
  applyJitter,
  mergeInstanceList,
  markLeaving,
  replaceSelf,
} from '@wisterialift/core';
import type { PeerInstances } from '@wisterialift/peer';
import type { PlatformClient } from '@wisterialift/platform';
import type { Instance, Settings } from '@wisterialift/schema';
import type { RecordConfigurationEvent } from './configurationEvents';
import type { PeerQueries } from './peerQueries';
import type { PlatformHealth } from './platformHealth';

/** The known instances, including this one. @internal */
export interface InstanceRegistry {
  self: () => Instance;
  instances: () => Instance[];
  isWatcher: () => boolean;
  /** Addresses of the watchers that this instance polls; empty if it is a watcher itself. */
  listSourceAddresses: () => string[];
  /** Addresses of all other instances and of the seeds. */
  listPeerAddresses: () => string[];
  /** Maximum age of an answer from a watcher; if all are older, the platform is polled. */
  ageLimitMilliseconds: number;
  /** The list that is returned to peers. */
  getSnapshot: () => PeerInstances;
  updateSelf: (changes: Partial<Instance>) => void;
  onLeavingAnnounced: (name: string) => void;
  /** Registers the instance and reads the list; resolves with the delay until the next step. */
  runStep: () => Promise<number>;
}

/** @internal */
export interface InstanceRegistryOptions {
  settings: Settings;
  platform: PlatformClient;
  health: PlatformHealth;
  queries: PeerQueries;
  now: () => number;
  random: () => number;
  record: RecordConfigurationEvent;
  onChanged: (instances: Instance[]) => void;
  onRoleChanged: () => void;
}

/** A list that was read at most this long after the last applied one is treated as the same list. */
const SAME_LIST_TOLERANCE_MILLISECONDS = 50;

/** Creates the registry, which also keeps this instance registered at the platform. @internal */
export function createInstanceRegistry(options: InstanceRegistryOptions): InstanceRegistry {
  const { settings, platform, health, queries, now, random, record } = options;
  const { pollMilliseconds, watchMilliseconds } = settings.platform;
  const ageLimitMilliseconds = 2 * Math.max(pollMilliseconds, watchMilliseconds);
  let view = createInstanceView(createSelf(settings));
  let knownInstances = listInstances(view);
  let isRecordedAsWatcher = true;
  let listReadAt = -Infinity;
  let isRegistered = false;
  let listsWithoutSelf = 0;

  function updateView(next: typeof view): void {
    view = next;
    const instances = listInstances(view);
    if (JSON.stringify(instances) === JSON.stringify(knownInstances)) return;
    knownInstances = instances;
    record({ name: 'instancesChanged', ...groupNamesByState(instances) });
    updateRole();
    options.onChanged(instances);
  }

  function updateRole(): void {
    if (isSelfWatcher() === isRecordedAsWatcher) return;
    isRecordedAsWatcher = !isRecordedAsWatcher;
    record({ name: 'watchRoleChanged', isWatcher: isRecordedAsWatcher });
    options.onRoleChanged();
  }

  function isSelfWatcher(): boolean {
    return isWatcher({ self: view.self, instances: knownInstances });
  }

  function listSourceAddresses(): string[] {
    if (isSelfWatcher()) return [];
    return orderWatchersToQuery({ self: view.self, instances: knownInstances }).map(getPeerAddress);
  }

  function listPeerAddresses(): string[] {
    const others = knownInstances.filter(({ name }) => name !== view.self.name).map(getPeerAddress);
    const addresses = new Set([...others, ...settings.peers.seeds]);
    addresses.delete(view.self.peerAddress);
    return [...addresses];
  }

  async function runStep(): Promise<number> {
    await registerSelf();
    await readList();
    return applyJitter({ milliseconds: pollMilliseconds, random: random() });
  }

  async function registerSelf(): Promise<void> {
    if (isRegistered) return;
    const registered = view.self;
    try {
      await health.track(platform.registerInstance(registered));
      isRegistered = view.self === registered;
    } catch {
      // The next step tries again.
    }
  }

  async function readList(): Promise<void> {
    if (await readListFrom(listSourceAddresses(), ageLimitMilliseconds)) return;
    try {
      const instances = await health.track(platform.listInstances());
      applyList({ instances, ageMilliseconds: 0 });
    } catch {
      await readListFrom(listPeerAddresses(), Infinity);
    }
  }

  /** Queries the peers in turn until one has a list within the age limit. */
  async function readListFrom(addresses: string[], ageLimit: number): Promise<boolean> {
    for (const address of addresses) {
      const answer = await queries.queryInstances(address);
      if (answer && answer.ageMilliseconds <= ageLimit) {
        applyList(answer);
        return true;
      }
    }
    return false;
  }

  /**
   * Ignores a list that is not newer than the last one; counted again, it would bring an absent
   * instance closer to `MISSED_LISTS_LIMIT`.
   */
  function applyList({ instances, ageMilliseconds }: PeerInstances): void {
    const readAt = now() - ageMilliseconds;
    if (readAt <= listReadAt + SAME_LIST_TOLERANCE_MILLISECONDS) return;
    listReadAt = readAt;
    requestRegistrationIfMissing(instances);
    updateView(mergeInstanceList({ view, instances, now: now() }));
  }

  /**
   * Has the next step register again if more than `MISSED_LISTS_LIMIT` lists in a row lack this
   * instance after it was listed.
   */
  function requestRegistrationIfMissing(instances: Instance[]): void {
    const isListed = instances.some(({ name }) => name === view.self.name);
    listsWithoutSelf = isListed || !view.isSelfListed ? 0 : listsWithoutSelf + 1;
    if (listsWithoutSelf > MISSED_LISTS_LIMIT) isRegistered = false;
  }

  function updateSelf(changes: Partial<Instance>): void {
    isRegistered = false;
    updateView(replaceSelf(view, { ...view.self, ...changes }));
  }

  return {
    self: () => view.self,
    instances: () => knownInstances,
    isWatcher: isSelfWatcher,
    listSourceAddresses,
    listPeerAddresses,
    ageLimitMilliseconds,
    getSnapshot: () => ({ instances: knownInstances, ageMilliseconds: now() - listReadAt }),
    updateSelf,
    onLeavingAnnounced: (name) => updateView(markLeaving({ view, name, now: now() })),
    runStep,
  };
}

function createSelf({ instance, peers, administration }: Settings): Instance {
  return {
    ...instance,
    peerAddress: `${peers.host}:${peers.port}`,
    administrationAddress: `${administration.host}:${administration.port}`,
    state: 'live',
  };
}

function getPeerAddress({ peerAddress }: Instance): string {
  return peerAddress;
}

function groupNamesByState(instances: Instance[]): { live: string[]; leaving: string[] } {
  const listNames = (state: Instance['state']): string[] =>
    instances.filter((instance) => instance.state === state).map(({ name }) => name);
  return { live: listNames('live'), leaving: listNames('leaving') };
}
