import { backOffMilliseconds, jitterMilliseconds } from '@wisterialift/core';
import type { BackOffTimes } from '@wisterialift/core';
import type { Settings } from '@wisterialift/schema';
import type { ConfigurationHolder } from './configurationHolder';
import type { ConfigurationReader } from './configurationReader';
import type { InstanceKeeper } from './instanceKeeper';
import type { PeerQuestions } from './peerQuestions';

/** @internal */
export interface ConfigurationFollowerOptions {
  settings: Settings['platform'];
  backOff: BackOffTimes;
  now: () => number;
  random: () => number;
  holder: ConfigurationHolder;
  reader: ConfigurationReader;
  questions: PeerQuestions;
  instances: InstanceKeeper;
}

/** Pause after a watch that ended at once without news, so that a broken platform is not hammered. */
const SHORTEST_WATCH_MILLISECONDS = 100;

/**
 * Creates the step of the loop that follows the configuration: a first read, then a watch at the
 * platform by the watchers of a data centre and questions to them by everyone else.
 *
 * @returns a step that resolves with the pause until the next.
 * @internal
 */
export function createConfigurationFollower(
  options: ConfigurationFollowerOptions,
): (signal: AbortSignal) => Promise<number> {
  const { settings, backOff, now, random, holder, reader, questions, instances } = options;
  let hasStarted = false;
  let failures = 0;

  async function takeStep(signal: AbortSignal): Promise<number> {
    if (!hasStarted) return startFollowing();
    return instances.isWatcher() ? watch(signal) : poll(signal);
  }

  /**
   * An instance that starts while the platform is down takes the highest configuration that its
   * peers hold, so that it serves callers before the platform is back.
   */
  async function startFollowing(): Promise<number> {
    try {
      await reader.read();
      hasStarted = true;
      return onSuccess(0);
    } catch {
      await Promise.all(instances.peerAddresses().map(questions.askConfiguration));
      hasStarted = holder.current() !== undefined;
      return onFailure();
    }
  }

  async function watch(signal: AbortSignal): Promise<number> {
    const startedAt = now();
    try {
      const numberBefore = holder.number();
      await reader.watch({ waitMilliseconds: settings.watchMilliseconds, signal });
      const isNews = holder.number() > numberBefore;
      const isSuspicious = !isNews && now() - startedAt < SHORTEST_WATCH_MILLISECONDS;
      return onSuccess(isSuspicious ? SHORTEST_WATCH_MILLISECONDS : 0);
    } catch {
      if (signal.aborted) return 0;
      await askAnyPeer();
      return onFailure();
    }
  }

  /**
   * An answer that rests on something the platform said long ago is not taken for an answer: two
   * instances that take each other for a watcher would else believe each other for ever.
   */
  async function poll(signal: AbortSignal): Promise<number> {
    for (const address of instances.sourceAddresses()) {
      const age = await questions.askConfiguration(address);
      if (age <= instances.ageLimitMilliseconds) return onSuccess(pollPause());
    }
    try {
      await reader.watch({ waitMilliseconds: 0, signal });
      return onSuccess(pollPause());
    } catch {
      if (signal.aborted) return 0;
      await askAnyPeer();
      return Math.max(onFailure(), pollPause());
    }
  }

  /** During an outage one peer after another is asked, as some may reach the platform still. */
  async function askAnyPeer(): Promise<void> {
    const addresses = instances.peerAddresses();
    const address = addresses[Math.floor(random() * addresses.length)];
    if (address !== undefined) await questions.askConfiguration(address);
  }

  function pollPause(): number {
    return jitterMilliseconds({ milliseconds: settings.pollMilliseconds, random: random() });
  }

  function onSuccess(pause: number): number {
    failures = 0;
    return pause;
  }

  function onFailure(): number {
    failures += 1;
    return backOffMilliseconds({ failures, random: random(), times: backOff });
  }

  return takeStep;
}
