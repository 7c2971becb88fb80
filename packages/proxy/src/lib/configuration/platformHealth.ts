import { PlatformUnavailableError, VersionConflictError } from '@wisterialift/platform';
import type { RecordConfiguration } from './messages';

/** Notes when the platform goes away and when it is back, once each. @internal */
export interface PlatformHealth {
  /**
   * Passes on the outcome of a call and notes what it says of the platform.
   *
   * @param signal - the signal that ends the call, if any; a call that it ended says nothing.
   */
  follow: <Answer>(call: Promise<Answer>, signal?: AbortSignal) => Promise<Answer>;
}

/** @internal */
export function createPlatformHealth(options: {
  now: () => number;
  record: RecordConfiguration;
}): PlatformHealth {
  const { now, record } = options;
  let awaySince: number | undefined;

  function onAnswer(): void {
    if (awaySince === undefined) return;
    record({ name: 'platformAvailable', awayMilliseconds: now() - awaySince });
    awaySince = undefined;
  }

  function onFailure(error: unknown): void {
    if (error instanceof PlatformUnavailableError) onUnavailable(error);
    else onAnswer();
    if (error instanceof VersionConflictError || error instanceof PlatformUnavailableError) return;
    record({ name: 'configurationTaskFault', loop: 'platform', reason: String(error) });
  }

  function onUnavailable(error: PlatformUnavailableError): void {
    if (awaySince !== undefined) return;
    awaySince = now();
    record({ name: 'platformUnavailable', reason: error.message });
  }

  async function follow<Answer>(call: Promise<Answer>, signal?: AbortSignal): Promise<Answer> {
    try {
      const answer = await call;
      onAnswer();
      return answer;
    } catch (error) {
      if (!signal?.aborted) onFailure(error);
      throw error;
    }
  }

  return { follow };
}
