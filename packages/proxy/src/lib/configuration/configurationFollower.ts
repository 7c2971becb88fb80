import { backOffMilliseconds, jitterMilliseconds } from '@wisterialift/core';
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
 * Delay after a watch that ended early without a change; limits the request rate if the platform
 * never waits.
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
  let hasStarted = false;
  let failures = 0;

  async function runStep(signal: AbortSignal): Promise<number> {
    if (!hasStarted) return readInitial();
    return registry.isWatcher() ? watch(signal) : poll(signal);
  }

  /** If the platform is unavailable, adopts the newest configuration of the peers instead. */
  async function readInitial(): Promise<number> {
    try {
      await reader.read();
      hasStarted = true;
      return onSuccess(0);
    } catch {
      await Promise.all(registry.peerAddresses().map(queries.queryConfiguration));
      hasStarted = state.current() !== undefined;
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
   * Ignores answers that the platform confirmed too long ago; otherwise two instances that poll
   * each other could keep a stale configuration forever.
   */
  async function poll(signal: AbortSignal): Promise<number> {
    for (const address of registry.sourceAddresses()) {
      const age = await queries.queryConfiguration(address);
      if (age <= registry.ageLimitMilliseconds) return onSuccess(pollDelay());
    }
    try {
      await reader.watch({ waitMilliseconds: 0, signal });
      return onSuccess(pollDelay());
    } catch {
      if (signal.aborted) return 0;
      await queryRandomPeer();
      return Math.max(onFailure(), pollDelay());
    }
  }

  /** Queries a random peer, which may still reach the platform. */
  async function queryRandomPeer(): Promise<void> {
    const addresses = registry.peerAddresses();
    const address = addresses[Math.floor(random() * addresses.length)];
    if (address !== undefined) await queries.queryConfiguration(address);
  }

  function pollDelay(): number {
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

  return runStep;
}
