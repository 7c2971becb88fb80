import { settlePatch } from '@wisterialift/core';
import type { ConfigurationSource, PatchFinding, PatchOutcome } from '@wisterialift/core';
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
import { createConfigurationHolder } from './configurationHolder';
import { createConfigurationReader } from './configurationReader';
import { createInstanceKeeper } from './instanceKeeper';
import { createLoop } from './loop';
import type { Loop } from './loop';
import type { RecordConfiguration } from './messages';
import { createPatchSubmitter } from './patchSubmitter';
import { createPeerQuestions } from './peerQuestions';
import { createPlatformHealth } from './platformHealth';
import { createPrimaryPublisher } from './primaryPublisher';
import { DEFAULT_CONFIGURATION_TASK_TIMES } from './times';
import type { ConfigurationTaskTimes } from './times';

/** @public */
export interface ConfigurationTaskOptions {
  settings: Settings;
  platform: PlatformClient;
  peers: PeerClient;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  /** Milliseconds on a clock that never goes back. */
  now: () => number;
  /** Called for each configuration that comes into force, in rising order of numbers. */
  onConfiguration: (configurationObject: ConfigurationObject) => void;
  /** Called when the known instances change; this one is always among them. */
  onInstances: (instances: Instance[]) => void;
  /** Called when another instance published a primary. */
  onPrimaryPublished: (published: PublishedPrimary) => void;
  record: RecordConfiguration;
  times?: Partial<ConfigurationTaskTimes>;
}

/** Where the listeners of the instance were bound, if the settings let the system choose. @public */
export interface BoundAddresses {
  peerAddress: string;
  administrationAddress: string;
}

/** What is known of a patch that is asked for. @public */
export type PatchAnswer = PatchFinding | { status: 'unknown' };

/** Number in force at one instance; undefined where it did not answer. @public */
export interface InstanceNumber {
  instance: Instance;
  number: number | undefined;
}

/** @public */
export interface ConfigurationTask {
  /** What to do with messages of peers; given to the peer server. */
  peerHandlers: PeerHandlers;
  /** Registers the instance and begins to follow; returns at once. */
  start: (addresses?: BoundAddresses) => void;
  /** Tells the platform and the peers that this instance leaves; it goes on following. */
  announceLeaving: () => Promise<void>;
  /** Ends all work and takes the instance off the platform's list. */
  stop: () => Promise<void>;
  /** The configuration in force; undefined before the first. */
  current: () => ConfigurationObject | undefined;
  instances: () => Instance[];
  /** Resolves once the outcome is known or the attempts are used up. */
  submitPatch: (patch: ConfigurationPatch) => Promise<PatchOutcome>;
  /** @param againstNumber - number that the patch was made against; lets `refused` be told. */
  findPatch: (patchId: string, againstNumber?: number) => Promise<PatchAnswer>;
  /** The accepted patches that are remembered, newest last. */
  history: () => AcceptedPatch[];
  /** Tells peers at once, then the platform for as long as it takes; resolves when peers know. */
  publishPrimary: (groupObject: GroupObject) => Promise<void>;
  /** Asks every known instance for the number in force there. */
  instanceNumbers: () => Promise<InstanceNumber[]>;
}

/**
 * Creates the task that keeps configuration and instances of one process: it owns the calls of the
 * platform and of the peers and the timers for them, and leaves every decision to the core.
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
  const stopping = new AbortController();
  const { signal } = stopping;

  const health = createPlatformHealth({ now, record });
  const holder = createConfigurationHolder({ now, record, onAdopted });
  const reader = createConfigurationReader({ platform, health, holder });
  const questions = createPeerQuestions({ peers, holder });
  const instances = createInstanceKeeper({
    settings,
    platform,
    health,
    questions,
    now,
    random,
    record,
    onChanged: onInstancesChanged,
    onRoleChanged,
  });
  const announcer = createAnnouncer({
    peers,
    currentNumber: holder.number,
    instances,
    times,
    signal,
  });
  const submitPatchToPlatform = createPatchSubmitter({
    platform,
    health,
    reader,
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
  const takeConfigurationStep = createConfigurationFollower({
    settings: settings.platform,
    backOff: times.backOff,
    now,
    random,
    holder,
    reader,
    questions,
    instances,
  });
  const configurationLoop = createTaskLoop('configuration', takeConfigurationStep);
  const instanceLoop = createTaskLoop('instances', instances.takeStep);

  function onAdopted(object: ConfigurationObject, source: ConfigurationSource): void {
    tellConfiguration(object);
    if (source !== 'patch') announcer.announceConfiguration(object, source);
  }

  /** A fault of whoever is told must not look like a failed call of the platform or of a peer. */
  function tellConfiguration(object: ConfigurationObject): void {
    try {
      options.onConfiguration(object);
    } catch (error) {
      record({ name: 'configurationTaskFault', loop: 'onConfiguration', reason: String(error) });
    }
  }

  /**
   * The watch may bring an accepted patch back before the answer to its update arrives; it is told
   * as the submitter's own in both cases, so that the other data centres hear of it.
   */
  function onAccepted(object: ConfigurationObject): void {
    holder.offer(object, 'patch');
    holder.confirm({ number: object.number, ageMilliseconds: 0 });
    announcer.announceConfiguration(object, 'patch');
  }

  function onInstancesChanged(known: Instance[]): void {
    peers.retainAddresses(instances.peerAddresses());
    options.onInstances(known);
  }

  function onRoleChanged(): void {
    configurationLoop.wake();
  }

  function createTaskLoop(name: string, step: (signal: AbortSignal) => Promise<number>): Loop {
    return createLoop({
      step,
      faultPauseMilliseconds: times.faultPauseMilliseconds,
      onFault: (error) => {
        record({ name: 'configurationTaskFault', loop: name, reason: String(error) });
      },
    });
  }

  const peerHandlers: PeerHandlers = {
    onConfigurationAnnounced: (candidate) => {
      if (holder.offer(candidate, 'peer')) {
        holder.confirm({ number: holder.number(), ageMilliseconds: 0 });
      }
      return holder.number();
    },
    onConfigurationRequested: holder.held,
    onInstancesRequested: instances.held,
    onPrimaryPublished: options.onPrimaryPublished,
    onLeavingAnnounced: instances.onLeavingAnnounced,
    onPing: () => ({ instance: settings.instance.name, configurationNumber: holder.number() }),
  };

  function start(addresses?: BoundAddresses): void {
    if (addresses) instances.changeSelf(addresses);
    configurationLoop.start();
    instanceLoop.start();
  }

  async function announceLeaving(): Promise<void> {
    instances.changeSelf({ state: 'leaving' });
    instanceLoop.wake();
    await announcer.announceLeaving();
  }

  async function stop(): Promise<void> {
    stopping.abort();
    await Promise.all([configurationLoop.stop(), instanceLoop.stop()]);
    await platform.removeInstance(settings.instance.name).catch(() => undefined);
  }

  async function submitPatch(patch: ConfigurationPatch): Promise<PatchOutcome> {
    const outcome = settleByHeld(patch, await submitPatchToPlatform(patch));
    record({ name: 'patchFinished', patchId: patch.patchId, status: outcome.status });
    return outcome;
  }

  /** What a watch or a peer brought meanwhile may settle a patch whose answer was lost. */
  function settleByHeld(patch: ConfigurationPatch, outcome: PatchOutcome): PatchOutcome {
    const configurationObject = holder.current();
    if (outcome.status !== 'unknown' || !configurationObject) return outcome;
    const finding = settlePatch({ configurationObject, ...patch });
    if (finding.status === 'accepted') return { status: 'accepted', number: finding.patch.number };
    if (finding.status !== 'refused') return outcome;
    return { status: 'outdated', presentNumber: finding.presentNumber };
  }

  /** What is in force here was accepted, which can be told without the platform. */
  async function findPatch(patchId: string, againstNumber?: number): Promise<PatchAnswer> {
    const patch = history().find((accepted) => accepted.patchId === patchId);
    if (patch) return { status: 'accepted', patch };
    try {
      const found = await reader.read();
      if (!found) return { status: 'pending', presentNumber: 0 };
      const { configurationObject } = found;
      return settlePatch({ configurationObject, patchId, againstNumber });
    } catch {
      return { status: 'unknown' };
    }
  }

  function history(): AcceptedPatch[] {
    return holder.current()?.patches ?? [];
  }

  async function publishPrimary(groupObject: GroupObject): Promise<void> {
    const { group, term, primary } = groupObject;
    void publishAtPlatform(groupObject);
    await announcer.announcePrimary({ group, term, primary });
  }

  async function instanceNumbers(): Promise<InstanceNumber[]> {
    return Promise.all(instances.instances().map(askNumber));
  }

  async function askNumber(instance: Instance): Promise<InstanceNumber> {
    if (instance.name === settings.instance.name) return { instance, number: holder.number() };
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
    current: holder.current,
    instances: instances.instances,
    submitPatch,
    findPatch,
    history,
    publishPrimary,
    instanceNumbers,
  };
}
