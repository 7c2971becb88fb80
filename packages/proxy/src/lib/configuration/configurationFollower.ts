import { computeBackOffMilliseconds, applyJitter } from '@wisterialift/core';
import type { BackOffTimes } from '@wisterialift/core';
import type { Settings } from '@wisterialift/schema';
import type { ConfigurationState } from './configurationState';
import type { ConfigurationReader } from './configurationReader';
import type { InstanceRegistry } from './instanceRegistry';
import type { PeerQueries } from './peerQueries';

/** @internal */
export interface ConfigurationFollowerOptions {
  settings: Settings['platform'];
  backOff: BackOffTimes;
  now: () => number;
  random: () => number;
  state: ConfigurationState;
  reader: ConfigurationReader;
  queries: PeerQueries;
  registry: InstanceRegistry;
}

/**
 * A watch without a change that ends sooner is followed by a delay of this length, to limit the
 * request rate if the platform does not wait.
 */
const MINIMUM_WATCH_MILLISECONDS = 100;

/**
 * Creates the loop step that follows the configuration. After the first read, the watchers of a
 * data centre watch the platform and the other instances poll the watchers.
 *
 * @returns a step that resolves with the delay until the next one in milliseconds.
 * @internal
 */
export function createConfigurationFollower(
  options: ConfigurationFollowerOptions,
): (signal: AbortSignal) => Promise<number> {
  const { settings, backOff, now, random, state, reader, queries, registry } = options;
  let hasReadInitial = false;
  let failures = 0;

  async function runStep(signal: AbortSignal): Promise<number> {
    if (!hasReadInitial) return readInitial();
    return registry.isWatcher() ? watch(signal) : poll(signal);
  }

  /**
   * If the read fails, for example because the platform is unavailable, adopts the newest
   * configuration of the peers.
   */
  async function readInitial(): Promise<number> {
    try {
      await reader.read();
      hasReadInitial = true;
      return onSuccess(0);
    } catch {
      await Promise.all(registry.listPeerAddresses().map(queries.pullConfiguration));
      hasReadInitial = state.current() !== undefined;
      return onFailure();
    }
  }

  async function watch(signal: AbortSignal): Promise<number> {
    const startedAt = now();
    try {
      const numberBefore = state.number();
      await reader.watch({ waitMilliseconds: settings.watchMilliseconds, signal });
      const hasChanged = state.number() > numberBefore;
      const hasEndedEarly = !hasChanged && now() - startedAt < MINIMUM_WATCH_MILLISECONDS;
      return onSuccess(hasEndedEarly ? MINIMUM_WATCH_MILLISECONDS : 0);
    } catch {
      if (signal.aborted) return 0;
      await queryRandomPeer();
      return onFailure();
    }
  }

  /**
   * Polls the next watcher, and finally the platform, if an answer was confirmed too long ago (a newer
   * configuration in it is adopted anyway); otherwise two instances that poll each other could keep
   * a stale configuration forever.
   */
  async function poll(signal: AbortSignal): Promise<number> {
    for (const address of registry.listSourceAddresses()) {
      const age = await queries.pullConfiguration(address);
      if (age <= registry.ageLimitMilliseconds) return onSuccess(getPollDelay());
    }
    try {
      await reader.watch({ waitMilliseconds: 0, signal });
      return onSuccess(getPollDelay());
    } catch {
      if (signal.aborted) return 0;
      await queryRandomPeer();
      return Math.max(onFailure(), getPollDelay());
    }
  }

  /** Queries a random peer, which may still reach the platform. */
  async function queryRandomPeer(): Promise<void> {
    const addresses = registry.listPeerAddresses();
    const address = addresses[Math.floor(random() * addresses.length)];
    if (address !== undefined) await queries.pullConfiguration(address);
  }

  function getPollDelay(): number {
    return applyJitter({ milliseconds: settings.pollMilliseconds, random: random() });
  }

  function onSuccess(delayMilliseconds: number): number {
    failures = 0;
    return delayMilliseconds;
  }

  function onFailure(): number {
    failures += 1;
    return computeBackOffMilliseconds({ failures, random: random(), times: backOff });
  }

  return runStep;
}
