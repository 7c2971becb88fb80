import type { VersionedConfiguration } from '@wisterialift/core';
import type { PlatformClient, PlatformObject } from '@wisterialift/platform';
import { CONFIGURATION_OBJECT, configurationObjectSchema } from '@wisterialift/schema';
import type { ConfigurationHolder } from './configurationHolder';
import type { PlatformHealth } from './platformHealth';
import { UnreadableConfigurationError } from './unreadableConfigurationError';

/** Reads the configuration object at the platform; whatever is read goes to the holder. @internal */
export interface ConfigurationReader {
  /** @returns undefined where the platform holds none yet. */
  read: () => Promise<VersionedConfiguration | undefined>;
  /** Waits for a version above the one last seen; 0 milliseconds only look. */
  watch: (options: { waitMilliseconds: number; signal: AbortSignal }) => Promise<void>;
}

/** @internal */
export function createConfigurationReader(options: {
  platform: PlatformClient;
  health: PlatformHealth;
  holder: ConfigurationHolder;
}): ConfigurationReader {
  const { platform, health, holder } = options;
  let knownVersion = 0;

  async function read(): Promise<VersionedConfiguration | undefined> {
    const object = await health.follow(platform.getObject(CONFIGURATION_OBJECT));
    if (object) return onObject(object);
    onNothingNew();
    return undefined;
  }

  async function watch(wait: { waitMilliseconds: number; signal: AbortSignal }): Promise<void> {
    const { waitMilliseconds, signal } = wait;
    const call = platform.watchObject({
      ...CONFIGURATION_OBJECT,
      after: knownVersion,
      waitMilliseconds,
      signal,
    });
    const object = await health.follow(call, signal);
    if (object) onObject(object);
    else onNothingNew();
  }

  /**
   * The platform confirms what was seen there before; or that there is nothing, where nothing is held
   * here either. What came from a peer alone is not confirmed by a platform without the object.
   */
  function onNothingNew(): void {
    if (knownVersion === 0 && holder.current()) return;
    holder.confirm({ number: holder.number(), ageMilliseconds: 0 });
  }

  function onObject({ version, value }: PlatformObject): VersionedConfiguration {
    knownVersion = Math.max(knownVersion, version);
    holder.offer(value, 'platform');
    const result = configurationObjectSchema.safeParse(value);
    if (!result.success) throw new UnreadableConfigurationError({ cause: result.error });
    holder.confirm({ number: result.data.number, ageMilliseconds: 0 });
    return { version, configurationObject: result.data };
  }

  return { read, watch };
}
