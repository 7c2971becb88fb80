import { findPatchStatus } from '@wisterialift/core';
import type {
  ConfigurationSource,
  EstablishedMemberSets,
  PatchOutcome,
  PatchStatusResult,
} from '@wisterialift/core';
import type { PeerClient, PeerHandlers, PublishedPrimary } from '@wisterialift/peer';
import type { PlatformClient } from '@wisterialift/platform';
import type {
  AcceptedPatch,
  ConfigurationObject,
  ConfigurationPatch,
  GroupObject,
  Instance,
  Settings,
} from '@wisterialift/schema';
import { createAnnouncer } from './announcer';
import { createConfigurationFollower } from './configurationFollower';
import { createConfigurationState } from './configurationState';
import { createConfigurationReader } from './configurationReader';
import { createInstanceRegistry } from './instanceRegistry';
import { createTaskLoop } from './taskLoop';
import type { TaskLoop } from './taskLoop';
import type { RecordConfigurationEvent } from './configurationEvents';
import { createPatchSubmitter } from './patchSubmitter';
import { createPeerQueries } from './peerQueries';
import { createPlatformHealth } from './platformHealth';
import { createPrimaryPublisher } from './primaryPublisher';
import { DEFAULT_CONFIGURATION_TASK_TIMES } from './configurationTaskTimes';
import type { ConfigurationTaskTimes } from './configurationTaskTimes';

/** @public */
export interface ConfigurationTaskOptions {
  settings: Settings;
  platform: PlatformClient;
  peers: PeerClient;
  /** Numbers of the newest member sets that are established, as seen by the groups of this instance. */
  getEstablishedMemberSets: () => EstablishedMemberSets;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  /** Monotonic clock in milliseconds. */
  now: () => number;
  /** Called for each adopted configuration, in ascending order of numbers. */
  onConfiguration: (configurationObject: ConfigurationObject) => void;
  /** Called when the known instances change; the list always contains this instance. */
  onInstances: (instances: Instance[]) => void;
  /** Called when another instance published a primary. */
  onPrimaryPublished: (published: PublishedPrimary) => void;
  record: RecordConfigurationEvent;
  times?: Partial<ConfigurationTaskTimes>;
}

/**
 * Addresses that the listeners were bound to; they differ from the settings if a port is 0.
 *
 * @public
 */
export interface BoundAddresses {
  peerAddress: string;
  administrationAddress: string;
}

/** Result of a lookup by patch id; `unknown` if the platform did not answer. @public */
export type PatchLookupResult = PatchStatusResult | { status: 'unknown' };

/**
 * Configuration number of one instance; -1 before its first configuration, undefined if it did not
 * answer.
 *
 * @public
 */
export interface InstanceNumber {
  instance: Instance;
  number: number | undefined;
}

/** @public */
export interface ConfigurationTask {
  /** Message handlers for the peer server. */
  peerHandlers: PeerHandlers;
  /** Starts registering the instance and following the configuration; does not wait for either. */
  start: (addresses?: BoundAddresses) => void;
  /**
   * Announces to platform and peers that this instance is leaving; it keeps following the
   * configuration.
   */
  announceLeaving: () => Promise<void>;
  /** Stops all loops and removes the instance from the platform's list. */
  stop: () => Promise<void>;
  /** The active configuration; undefined before the first. */
  current: () => ConfigurationObject | undefined;
  instances: () => Instance[];
  /** Resolves when the outcome is known or the retries are exhausted. */
  submitPatch: (patch: ConfigurationPatch) => Promise<PatchOutcome>;
  /**
   * @param againstNumber - configuration number that the patch was based on; required to detect
   *   `refused`.
   */
  findPatch: (patchId: string, againstNumber?: number) => Promise<PatchLookupResult>;
  /** The retained accepted patches, newest last. */
  history: () => AcceptedPatch[];
  /**
   * Announces a primary to the peers and publishes it at the platform. Resolves when every peer has
   * answered or failed.
   *
   * Publishing retries version conflicts and an unavailable platform until the primary is stored, a
   * higher term replaces it or the task stops; other errors are permanent.
   */
  publishPrimary: (groupObject: GroupObject) => Promise<void>;
  /** Queries the configuration number of every known instance. */
  instanceNumbers: () => Promise<InstanceNumber[]>;
}

/**
 * Creates the task that tracks the configuration and the instances. It makes the calls to platform
 * and peers and runs the timers; adoption, roles and patch outcomes are decided in
 * `@wisterialift/core`.
 *
 * @example
 * const task = createConfigurationTask({ settings, platform, peers, random, now, ...handlers });
 * const peerServer = createPeerServer({ host, port, handlers: task.peerHandlers });
 * await peerServer.start();
 * task.start();
 *
 * @public
 */
export function createConfigurationTask(options: ConfigurationTaskOptions): ConfigurationTask {
  const { settings, platform, peers, random, now, record } = options;
  const times = { ...DEFAULT_CONFIGURATION_TASK_TIMES, ...options.times };
  const stopController = new AbortController();
  const { signal } = stopController;

  const health = createPlatformHealth({ now, record });
  const state = createConfigurationState({ now, record, onAdopted });
  const reader = createConfigurationReader({ platform, health, state });
  const queries = createPeerQueries({ peers, state });
  const registry = createInstanceRegistry({
    settings,
    platform,
    health,
    queries,
    now,
    random,
    record,
    onChanged: onInstancesChanged,
    onRoleChanged,
  });
  const announcer = createAnnouncer({
    peers,
    currentNumber: state.number,
    registry,
    times,
    signal,
  });
  const submitPatchToPlatform = createPatchSubmitter({
    platform,
    health,
    reader,
    getEstablishedMemberSets: options.getEstablishedMemberSets,
    random,
    times,
    onAccepted,
  });
  const publishAtPlatform = createPrimaryPublisher({
    platform,
    health,
    random,
    record,
    times,
    signal,
  });
  const runConfigurationStep = createConfigurationFollower({
    settings: settings.platform,
    backOff: times.backOff,
    now,
    random,
    state,
    reader,
    queries,
    registry,
  });
  const configurationLoop = createReportingLoop('configuration', runConfigurationStep);
  const instanceLoop = createReportingLoop('instances', registry.runStep);

  function onAdopted(object: ConfigurationObject, source: ConfigurationSource): void {
    notifyConfiguration(object);
    if (source !== 'patch') announcer.announceConfiguration(object, source);
  }

  /**
   * Catches errors of the callback, which would otherwise count as failed platform or peer calls.
   */
  function notifyConfiguration(object: ConfigurationObject): void {
    try {
      options.onConfiguration(object);
    } catch (error) {
      record({ name: 'configurationTaskFault', loop: 'onConfiguration', reason: String(error) });
    }
  }

  /**
   * Announces here instead of in `onAdopted`: if the watch delivered the patch before the update was
   * answered, it is not adopted again. Only the source `patch` reaches the watchers of other data
   * centres.
   */
  function onAccepted(object: ConfigurationObject): void {
    state.adoptIfNewer(object, 'patch');
    state.confirm({ number: object.number, ageMilliseconds: 0 });
    announcer.announceConfiguration(object, 'patch');
  }

  function onInstancesChanged(instances: Instance[]): void {
    peers.retainAddresses(registry.listPeerAddresses());
    options.onInstances(instances);
  }

  function onRoleChanged(): void {
    configurationLoop.wake();
  }

  function createReportingLoop(
    name: string,
    step: (signal: AbortSignal) => Promise<number>,
  ): TaskLoop {
    return createTaskLoop({
      step,
      errorDelayMilliseconds: times.errorDelayMilliseconds,
      onError: (error) => {
        record({ name: 'configurationTaskFault', loop: name, reason: String(error) });
      },
    });
  }

  const peerHandlers: PeerHandlers = {
    onConfigurationAnnounced: (candidate) => {
      if (state.adoptIfNewer(candidate, 'peer')) {
        state.confirm({ number: state.number(), ageMilliseconds: 0 });
      }
      return state.number();
    },
    onConfigurationRequested: state.getSnapshot,
    onInstancesRequested: registry.getSnapshot,
    onPrimaryPublished: options.onPrimaryPublished,
    onLeavingAnnounced: registry.onLeavingAnnounced,
    onPing: () => ({
      instance: settings.instance.name,
      configurationNumber: state.number(),
    }),
  };

  function start(addresses?: BoundAddresses): void {
    if (addresses) registry.updateSelf(addresses);
    configurationLoop.start();
    instanceLoop.start();
  }

  async function announceLeaving(): Promise<void> {
    registry.updateSelf({ state: 'leaving' });
    instanceLoop.wake();
    await announcer.announceLeaving();
  }

  async function stop(): Promise<void> {
    stopController.abort();
    await Promise.all([configurationLoop.stop(), instanceLoop.stop()]);
    await platform.removeInstance(settings.instance.name).catch(() => undefined);
  }

  async function submitPatch(patch: ConfigurationPatch): Promise<PatchOutcome> {
    const outcome = settleFromCurrent(patch, await submitPatchToPlatform(patch));
    record({ name: 'patchFinished', patchId: patch.patchId, status: outcome.status });
    return outcome;
  }

  /** Settles a patch with a lost answer from a configuration that arrived in the meantime. */
  function settleFromCurrent(patch: ConfigurationPatch, outcome: PatchOutcome): PatchOutcome {
    const configurationObject = state.current();
    if (outcome.status !== 'unknown' || !configurationObject) return outcome;
    const finding = findPatchStatus({ configurationObject, ...patch });
    if (finding.status === 'accepted') return { status: 'accepted', number: finding.patch.number };
    if (finding.status !== 'refused') return outcome;
    return { status: 'outdated', presentNumber: finding.presentNumber };
  }

  /** Answers from the active configuration if possible, without a call to the platform. */
  async function findPatch(patchId: string, againstNumber?: number): Promise<PatchLookupResult> {
    const patch = history().find((accepted) => accepted.patchId === patchId);
    if (patch) return { status: 'accepted', patch };
    try {
      const found = await reader.read();
      if (!found) return { status: 'pending', presentNumber: 0 };
      const { configurationObject } = found;
      return findPatchStatus({ configurationObject, patchId, againstNumber });
    } catch {
      return { status: 'unknown' };
    }
  }

  function history(): AcceptedPatch[] {
    return state.current()?.patches ?? [];
  }

  async function publishPrimary(groupObject: GroupObject): Promise<void> {
    const { group, term, primary } = groupObject;
    void publishAtPlatform(groupObject);
    await announcer.announcePrimary({ group, term, primary });
  }

  async function instanceNumbers(): Promise<InstanceNumber[]> {
    return Promise.all(registry.instances().map(fetchNumber));
  }

  async function fetchNumber(instance: Instance): Promise<InstanceNumber> {
    if (instance.name === settings.instance.name) return { instance, number: state.number() };
    try {
      const { configurationNumber } = await peers.ping(instance.peerAddress);
      return { instance, number: configurationNumber };
    } catch {
      return { instance, number: undefined };
    }
  }

  return {
    peerHandlers,
    start,
    announceLeaving,
    stop,
    current: state.current,
    instances: registry.instances,
    submitPatch,
    findPatch,
    history,
    publishPrimary,
    instanceNumbers,
  };
}
