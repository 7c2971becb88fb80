import { PlatformUnavailableError, VersionConflictError } from '@wisterialift/platform';
import type { RecordConfigurationEvent } from './configurationEvents';

/** Tracks whether the platform is available and records each change. @internal */
export interface PlatformHealth {
  /**
   * Returns the outcome of a call and updates the availability of the platform from it.
   *
   * @param signal - abort signal of the call; failures after an abort are thrown but not recorded.
   */
  track: <Answer>(call: Promise<Answer>, signal?: AbortSignal) => Promise<Answer>;
}

/** @internal */
export function createPlatformHealth(options: {
  now: () => number;
  record: RecordConfigurationEvent;
}): PlatformHealth {
  const { now, record } = options;
  let unavailableSince: number | undefined;

  function onAnswer(): void {
    if (unavailableSince === undefined) return;
    record({ name: 'platformAvailable', awayMilliseconds: now() - unavailableSince });
    unavailableSince = undefined;
  }

  function onFailure(error: unknown): void {
    if (error instanceof PlatformUnavailableError) onUnavailable(error);
    else onAnswer();
    if (error instanceof VersionConflictError || error instanceof PlatformUnavailableError) return;
    record({ name: 'configurationTaskFault', loop: 'platform', reason: String(error) });
  }

  function onUnavailable(error: PlatformUnavailableError): void {
    if (unavailableSince !== undefined) return;
    unavailableSince = now();
    record({ name: 'platformUnavailable', reason: error.message });
  }

  async function track<Answer>(call: Promise<Answer>, signal?: AbortSignal): Promise<Answer> {
    try {
      const answer = await call;
      onAnswer();
      return answer;
    } catch (error) {
      if (!signal?.aborted) onFailure(error);
      throw error;
    }
  }

  return { track };
}
