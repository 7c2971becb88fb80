import type { VersionedConfiguration } from '@wisterialift/core';
import type { PlatformClient, PlatformObject } from '@wisterialift/platform';
import { CONFIGURATION_OBJECT, configurationObjectSchema } from '@wisterialift/schema';
import type { ConfigurationState } from './configurationState';
import type { PlatformHealth } from './platformHealth';
import { UnreadableConfigurationError } from './unreadableConfigurationError';

/** Reads the configuration object from the platform into the configuration state. @internal */
export interface ConfigurationReader {
  /**
   * @returns undefined if the platform has no configuration yet.
   * @throws UnreadableConfigurationError if the object does not pass the schema.
   */
  read: () => Promise<VersionedConfiguration | undefined>;
  /**
   * Waits for a newer version than the last one seen; 0 milliseconds checks without waiting.
   *
   * @throws UnreadableConfigurationError if the object does not pass the schema.
   */
  watch: (options: { waitMilliseconds: number; signal: AbortSignal }) => Promise<void>;
}

/** @internal */
export function createConfigurationReader(options: {
  platform: PlatformClient;
  health: PlatformHealth;
  state: ConfigurationState;
}): ConfigurationReader {
  const { platform, health, state } = options;
  let lastSeenVersion = 0;

  async function read(): Promise<VersionedConfiguration | undefined> {
    const object = await health.track(platform.getObject(CONFIGURATION_OBJECT));
    if (object) return onObject(object);
    onUnchanged();
    return undefined;
  }

  async function watch(wait: { waitMilliseconds: number; signal: AbortSignal }): Promise<void> {
    const { waitMilliseconds, signal } = wait;
    const call = platform.watchObject({
      ...CONFIGURATION_OBJECT,
      after: lastSeenVersion,
      waitMilliseconds,
      signal,
    });
    const object = await health.track(call, signal);
    if (object) onObject(object);
    else onUnchanged();
  }

  /** A platform without the object does not confirm a configuration that came from a peer. */
  function onUnchanged(): void {
    if (lastSeenVersion === 0 && state.current()) return;
    state.confirm({ number: state.number(), ageMilliseconds: 0 });
  }

  function onObject({ version, value }: PlatformObject): VersionedConfiguration {
    lastSeenVersion = Math.max(lastSeenVersion, version);
    state.adoptIfNewer(value, 'platform');
    const result = configurationObjectSchema.safeParse(value);
    if (!result.success) throw new UnreadableConfigurationError({ cause: result.error });
    state.confirm({ number: result.data.number, ageMilliseconds: 0 });
    return { version, configurationObject: result.data };
  }

  return { read, watch };
}
