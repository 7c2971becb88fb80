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
import type { RecordConfiguration } from './messages';
import type { PeerQuestions } from './peerQuestions';
import type { PlatformHealth } from './platformHealth';

/** What an instance knows of itself and the others. @internal */
export interface InstanceKeeper {
  self: () => Instance;
  instances: () => Instance[];
  isWatcher: () => boolean;
  /** Addresses of the watchers that this instance asks; none where it is one. */
  sourceAddresses: () => string[];
  /** Addresses of all other instances, and of the seeds. */
  peerAddresses: () => string[];
  /** What rests on something that the platform said longer ago than this is not believed. */
  ageLimitMilliseconds: number;
  /** The instances for a peer that asks. */
  held: () => PeerInstances;
  changeSelf: (changes: Partial<Instance>) => void;
  onLeavingAnnounced: (name: string) => void;
  /** Registers the instance and reads the list; resolves with the pause until the next time. */
  takeStep: () => Promise<number>;
}

/** @internal */
export interface InstanceKeeperOptions {
  settings: Settings;
  platform: PlatformClient;
  health: PlatformHealth;
  questions: PeerQuestions;
  now: () => number;
  random: () => number;
  record: RecordConfiguration;
  onChanged: (instances: Instance[]) => void;
  onRoleChanged: () => void;
}

/** Two answers of peers whose lists were read this close to each other rest on the same list. */
const SAME_LIST_MILLISECONDS = 50;

/** Keeps the instance registered and its view of the others up to date. @internal */
export function createInstanceKeeper(options: InstanceKeeperOptions): InstanceKeeper {
  const { settings, platform, health, questions, now, random, record } = options;
  const { pollMilliseconds, watchMilliseconds } = settings.platform;
  const ageLimitMilliseconds = 2 * Math.max(pollMilliseconds, watchMilliseconds);
  let view = createInstanceView(describeSelf(settings));
  let known = instancesOf(view);
  let wasWatcher = true;
  let listReadAt = -Infinity;
  let isRegistered = false;
  let listsWithoutSelf = 0;

  function changeView(next: typeof view): void {
    view = next;
    const instances = instancesOf(view);
    if (JSON.stringify(instances) === JSON.stringify(known)) return;
    known = instances;
    record({ name: 'instancesChanged', ...namesByState(instances) });
    noteRole();
    options.onChanged(instances);
  }

  function noteRole(): void {
    if (isSelfWatcher() === wasWatcher) return;
    wasWatcher = !wasWatcher;
    record({ name: 'watchRoleChanged', isWatcher: wasWatcher });
    options.onRoleChanged();
  }

  function isSelfWatcher(): boolean {
    return isWatcher({ self: view.self, instances: known });
  }

  function sourceAddresses(): string[] {
    if (isSelfWatcher()) return [];
    return chooseSources({ self: view.self, instances: known }).map(addressOf);
  }

  function peerAddresses(): string[] {
    const others = known.filter(({ name }) => name !== view.self.name).map(addressOf);
    const addresses = new Set([...others, ...settings.peers.seeds]);
    addresses.delete(view.self.peerAddress);
    return [...addresses];
  }

  async function takeStep(): Promise<number> {
    await registerSelf();
    await readList();
    return jitterMilliseconds({ milliseconds: pollMilliseconds, random: random() });
  }

  async function registerSelf(): Promise<void> {
    if (isRegistered) return;
    const registered = view.self;
    try {
      await health.follow(platform.registerInstance(registered));
      isRegistered = view.self === registered;
    } catch {
      // The next step tries again.
    }
  }

  async function readList(): Promise<void> {
    if (await readListFrom(sourceAddresses(), ageLimitMilliseconds)) return;
    try {
      const instances = await health.follow(platform.listInstances());
      takeList({ instances, ageMilliseconds: 0 });
    } catch {
      await readListFrom(peerAddresses(), Infinity);
    }
  }

  /** Asks one peer after another until one knows a list that is young enough. */
  async function readListFrom(addresses: string[], ageLimit: number): Promise<boolean> {
    for (const address of addresses) {
      const answer = await questions.askInstances(address);
      if (answer && answer.ageMilliseconds <= ageLimit) {
        takeList(answer);
        return true;
      }
    }
    return false;
  }

  /** A list that is not newer than the last would count as a second one without an instance. */
  function takeList({ instances, ageMilliseconds }: PeerInstances): void {
    const readAt = now() - ageMilliseconds;
    if (readAt <= listReadAt + SAME_LIST_MILLISECONDS) return;
    listReadAt = readAt;
    noteSelf(instances);
    changeView(mergeInstanceList({ view, instances, now: now() }));
  }

  /** A platform that has lost the entry of this instance is told again. */
  function noteSelf(instances: Instance[]): void {
    const isListed = instances.some(({ name }) => name === view.self.name);
    listsWithoutSelf = isListed || !view.isSelfListed ? 0 : listsWithoutSelf + 1;
    if (listsWithoutSelf > MISSED_LISTS_LIMIT) isRegistered = false;
  }

  function changeSelf(changes: Partial<Instance>): void {
    isRegistered = false;
    changeView(withSelf(view, { ...view.self, ...changes }));
  }

  return {
    self: () => view.self,
    instances: () => known,
    isWatcher: isSelfWatcher,
    sourceAddresses,
    peerAddresses,
    ageLimitMilliseconds,
    held: () => ({ instances: known, ageMilliseconds: now() - listReadAt }),
    changeSelf,
    onLeavingAnnounced: (name) => changeView(mergeLeaving({ view, name, now: now() })),
    takeStep,
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
