import { setTimeout as sleep } from 'node:timers/promises';
import { computeBackOffMilliseconds } from '@wisterialift/core';
import { PlatformUnavailableError, VersionConflictError } from '@wisterialift/platform';
import type { PlatformClient } from '@wisterialift/platform';
import { GROUP_OBJECT_KIND, groupObjectSchema } from '@wisterialift/schema';
import type { GroupObject } from '@wisterialift/schema';
import type { RecordConfigurationEvent } from './configurationEvents';
import type { PlatformHealth } from './platformHealth';
import type { ConfigurationTaskTimes } from './configurationTaskTimes';

/** @internal */
export interface PrimaryPublisherOptions {
  platform: PlatformClient;
  health: PlatformHealth;
  random: () => number;
  record: RecordConfigurationEvent;
  times: ConfigurationTaskTimes;
  /** Aborted when the task stops. */
  signal: AbortSignal;
}

/**
 * Creates the function that publishes the primary of a group at the platform. It retries version
 * conflicts and an unavailable platform until the primary is stored, a higher term replaces it or
 * the task stops; other errors are permanent.
 *
 * The published primary is informative only, because the terms of the members decide; failovers
 * therefore do not wait for it.
 *
 * @internal
 */
export function createPrimaryPublisher(
  options: PrimaryPublisherOptions,
): (groupObject: GroupObject) => Promise<void> {
  const { platform, health, random, record, times, signal } = options;
  const latestTerms = new Map<string, number>();

  async function publish(groupObject: GroupObject): Promise<void> {
    const { group, term } = groupObject;
    if (term <= (latestTerms.get(group) ?? -1)) return;
    latestTerms.set(group, term);
    let failures = 0;
    while (!signal.aborted && latestTerms.get(group) === term) {
      if (await tryPublish(groupObject, failures === 0)) return;
      failures += 1;
      await sleepAfterFailure(failures);
    }
  }

  /**
   * Makes one attempt.
   *
   * @returns whether publishing has ended: the primary is stored, the platform has the same or a
   *   higher term, or the error is permanent.
   */
  async function tryPublish(groupObject: GroupObject, isFirst: boolean): Promise<boolean> {
    try {
      return await publishOnce(groupObject);
    } catch (error) {
      if (error instanceof VersionConflictError) return false;
      if (isFirst) recordFailure(groupObject, error);
      return !(error instanceof PlatformUnavailableError);
    }
  }

  async function publishOnce(groupObject: GroupObject): Promise<boolean> {
    const key = { kind: GROUP_OBJECT_KIND, name: groupObject.group };
    const present = await health.track(platform.getObject(key));
    if (parseTerm(present?.value) >= groupObject.term) return true;
    const expectedVersion = present?.version ?? 0;
    await health.track(platform.putObject({ ...key, expectedVersion, value: groupObject }));
    return true;
  }

  function recordFailure({ group, term }: GroupObject, error: unknown): void {
    record({ name: 'primaryPublishFailed', group, term, reason: (error as Error).message });
  }

  async function sleepAfterFailure(failures: number): Promise<void> {
    const delayMilliseconds = computeBackOffMilliseconds({
      failures,
      random: random(),
      times: times.backOff,
    });
    await sleep(delayMilliseconds, undefined, { signal, ref: false }).catch(() => undefined);
  }

  return publish;
}

/** Term of a published primary; -1 if there is none or it does not pass the schema. */
function parseTerm(value: unknown): number {
  const result = groupObjectSchema.safeParse(value);
  return result.success ? result.data.term : -1;
}
