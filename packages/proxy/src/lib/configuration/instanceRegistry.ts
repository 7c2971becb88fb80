import {
  MISSED_LISTS_LIMIT,
  chooseSources,
  createInstanceView,
  instancesOf,
  isWatcher,
  jitterMilliseconds,
  mergeInstanceList,
  mergeLeaving,
  withSelf,
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
  sourceAddresses: () => string[];
  /** Addresses of all other instances and of the seeds. */
  peerAddresses: () => string[];
  /** Maximum time since the platform confirmed the answer of a peer; older answers are ignored. */
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

/** Peer answers whose lists were read within this time are treated as the same list. */
const SAME_LIST_TOLERANCE_MILLISECONDS = 50;

/** Creates the registry, which also keeps this instance registered at the platform. @internal */
export function createInstanceRegistry(options: InstanceRegistryOptions): InstanceRegistry {
  const { settings, platform, health, queries, now, random, record } = options;
  const { pollMilliseconds, watchMilliseconds } = settings.platform;
  const ageLimitMilliseconds = 2 * Math.max(pollMilliseconds, watchMilliseconds);
  let view = createInstanceView(describeSelf(settings));
  let knownInstances = instancesOf(view);
  let wasWatcher = true;
  let listedAt = -Infinity;
  let isRegistered = false;
  let listsWithoutSelf = 0;

  function updateView(next: typeof view): void {
    view = next;
    const instances = instancesOf(view);
    if (JSON.stringify(instances) === JSON.stringify(knownInstances)) return;
    knownInstances = instances;
    record({ name: 'instancesChanged', ...namesByState(instances) });
    updateRole();
    options.onChanged(instances);
  }

  function updateRole(): void {
    if (isSelfWatcher() === wasWatcher) return;
    wasWatcher = !wasWatcher;
    record({ name: 'watchRoleChanged', isWatcher: wasWatcher });
    options.onRoleChanged();
  }

  function isSelfWatcher(): boolean {
    return isWatcher({ self: view.self, instances: knownInstances });
  }

  function sourceAddresses(): string[] {
    if (isSelfWatcher()) return [];
    return chooseSources({ self: view.self, instances: knownInstances }).map(addressOf);
  }

  function peerAddresses(): string[] {
    const others = knownInstances.filter(({ name }) => name !== view.self.name).map(addressOf);
    const addresses = new Set([...others, ...settings.peers.seeds]);
    addresses.delete(view.self.peerAddress);
    return [...addresses];
  }

  async function runStep(): Promise<number> {
    await registerSelf();
    await readList();
    return jitterMilliseconds({ milliseconds: pollMilliseconds, random: random() });
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
    if (await readListFrom(sourceAddresses(), ageLimitMilliseconds)) return;
    try {
      const instances = await health.track(platform.listInstances());
      applyList({ instances, ageMilliseconds: 0 });
    } catch {
      await readListFrom(peerAddresses(), Infinity);
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
   * Ignores a list that is not newer than the last, so that it cannot count as another missing
   * entry.
   */
  function applyList({ instances, ageMilliseconds }: PeerInstances): void {
    const readAt = now() - ageMilliseconds;
    if (readAt <= listedAt + SAME_LIST_TOLERANCE_MILLISECONDS) return;
    listedAt = readAt;
    checkOwnEntry(instances);
    updateView(mergeInstanceList({ view, instances, now: now() }));
  }

  /** Registers again if the platform has lost the entry of this instance. */
  function checkOwnEntry(instances: Instance[]): void {
    const isListed = instances.some(({ name }) => name === view.self.name);
    listsWithoutSelf = isListed || !view.isSelfListed ? 0 : listsWithoutSelf + 1;
    if (listsWithoutSelf > MISSED_LISTS_LIMIT) isRegistered = false;
  }

  function updateSelf(changes: Partial<Instance>): void {
    isRegistered = false;
    updateView(withSelf(view, { ...view.self, ...changes }));
  }

  return {
    self: () => view.self,
    instances: () => knownInstances,
    isWatcher: isSelfWatcher,
    sourceAddresses,
    peerAddresses,
    ageLimitMilliseconds,
    getSnapshot: () => ({ instances: knownInstances, ageMilliseconds: now() - listedAt }),
    updateSelf,
    onLeavingAnnounced: (name) => updateView(mergeLeaving({ view, name, now: now() })),
    runStep,
  };
}

function describeSelf({ instance, peers, administration }: Settings): Instance {
  return {
    ...instance,
    peerAddress: `${peers.host}:${peers.port}`,
    administrationAddress: `${administration.host}:${administration.port}`,
    state: 'live',
  };
}

function addressOf({ peerAddress }: Instance): string {
  return peerAddress;
}

function namesByState(instances: Instance[]): { live: string[]; leaving: string[] } {
  const namesOf = (state: Instance['state']): string[] =>
    instances.filter((instance) => instance.state === state).map(({ name }) => name);
  return { live: namesOf('live'), leaving: namesOf('leaving') };
}
