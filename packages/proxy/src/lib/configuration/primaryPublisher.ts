import { setTimeout as sleep } from 'node:timers/promises';
import { backOffMilliseconds } from '@wisterialift/core';
import { PlatformUnavailableError, VersionConflictError } from '@wisterialift/platform';
import type { PlatformClient } from '@wisterialift/platform';
import { GROUP_OBJECT_KIND, groupObjectSchema } from '@wisterialift/schema';
import type { GroupObject } from '@wisterialift/schema';
import type { RecordConfiguration } from './messages';
import type { PlatformHealth } from './platformHealth';
import type { ConfigurationTaskTimes } from './times';

/** @internal */
export interface PrimaryPublisherOptions {
  platform: PlatformClient;
  health: PlatformHealth;
  random: () => number;
  record: RecordConfiguration;
  times: ConfigurationTaskTimes;
  /** Aborted when the task stops. */
  signal: AbortSignal;
}

/**
 * Creates the function that publishes the primary of a group at the platform, for as long as it
 * takes and no higher term is there.
 *
 * What is published is informative: the members' terms decide, so an outage delays nothing else.
 *
 * @internal
 */
export function createPrimaryPublisher(
  options: PrimaryPublisherOptions,
): (groupObject: GroupObject) => Promise<void> {
  const { platform, health, random, record, times, signal } = options;
  const newestTerms = new Map<string, number>();

  async function publish(groupObject: GroupObject): Promise<void> {
    const { group, term } = groupObject;
    if (term <= (newestTerms.get(group) ?? -1)) return;
    newestTerms.set(group, term);
    let failures = 0;
    while (!signal.aborted && newestTerms.get(group) === term) {
      if (await isPublished(groupObject, failures === 0)) return;
      failures += 1;
      await pauseAfter(failures);
    }
  }

  /** Tells whether nothing is left to do: stored, or a term as high is there already. */
  async function isPublished(groupObject: GroupObject, isFirst: boolean): Promise<boolean> {
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
    const present = await health.follow(platform.getObject(key));
    if (termOf(present?.value) >= groupObject.term) return true;
    const expectedVersion = present?.version ?? 0;
    await health.follow(platform.putObject({ ...key, expectedVersion, value: groupObject }));
    return true;
  }

  function recordFailure({ group, term }: GroupObject, error: unknown): void {
    record({ name: 'primaryPublishFailed', group, term, reason: (error as Error).message });
  }

  async function pauseAfter(failures: number): Promise<void> {
    const pause = backOffMilliseconds({ failures, random: random(), times: times.backOff });
    await sleep(pause, undefined, { signal, ref: false }).catch(() => undefined);
  }

  return publish;
}

/** Term of what is published; -1 for nothing, or for something that cannot be read. */
function termOf(value: unknown): number {
  const result = groupObjectSchema.safeParse(value);
  return result.success ? result.data.term : -1;
}
