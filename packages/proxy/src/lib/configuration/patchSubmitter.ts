import { setTimeout as sleep } from 'node:timers/promises';
import { computeBackOffMilliseconds, createPatchSubmission } from '@wisterialift/core';
import type {
  EstablishedMemberSets,
  PatchOutcome,
  SubmissionEvent,
  SubmissionStep,
} from '@wisterialift/core';
import { PlatformUnavailableError, VersionConflictError } from '@wisterialift/platform';
import type { PlatformClient } from '@wisterialift/platform';
import { CONFIGURATION_OBJECT } from '@wisterialift/schema';
import type { ConfigurationObject, ConfigurationPatch } from '@wisterialift/schema';
import type { ConfigurationReader } from './configurationReader';
import type { PlatformHealth } from './platformHealth';
import type { ConfigurationTaskTimes } from './configurationTaskTimes';

/** @internal */
export interface PatchSubmitterOptions {
  platform: PlatformClient;
  health: PlatformHealth;
  reader: ConfigurationReader;
  getEstablishedMemberSets: () => EstablishedMemberSets;
  random: () => number;
  times: ConfigurationTaskTimes;
  /** Called when the platform has stored the patched configuration. */
  onAccepted: (configurationObject: ConfigurationObject) => void;
}

type StepHandlers = {
  [Type in SubmissionStep['type']]: (
    step: Extract<SubmissionStep, { type: Type }>,
  ) => Promise<SubmissionEvent | undefined>;
};

/**
 * Creates the function that submits a patch, following the steps of `createPatchSubmission`.
 *
 * @internal
 */
export function createPatchSubmitter(
  options: PatchSubmitterOptions,
): (patch: ConfigurationPatch) => Promise<PatchOutcome> {
  const { platform, health, reader, getEstablishedMemberSets, random, times, onAccepted } = options;

  const handlers: StepHandlers = {
    readObject: async () => {
      try {
        return { type: 'objectRead', found: await reader.read() };
      } catch {
        return { type: 'callFailed', mayHaveApplied: false };
      }
    },
    updateObject: async ({ expectedVersion, configurationObject: value }) => {
      try {
        const update = { ...CONFIGURATION_OBJECT, expectedVersion, value };
        await health.track(platform.putObject(update));
        onAccepted(value);
        return { type: 'updateStored' };
      } catch (error) {
        return toSubmissionEvent(error);
      }
    },
    wait: async ({ failures }) => {
      await sleep(computeBackOffMilliseconds({ failures, random: random(), times: times.backOff }));
      return { type: 'waitOver' };
    },
    finish: async () => undefined,
  };

  function runStep<Type extends SubmissionStep['type']>(
    step: Extract<SubmissionStep, { type: Type }>,
  ): Promise<SubmissionEvent | undefined> {
    const handler = handlers[step.type] as (
      handled: SubmissionStep,
    ) => Promise<SubmissionEvent | undefined>;
    return handler(step);
  }

  return async (patch) => {
    const submission = createPatchSubmission({
      patch,
      acceptedAt: new Date().toISOString(),
      maximumFailures: times.maximumPatchFailures,
      establishedMemberSets: getEstablishedMemberSets(),
    });
    for (;;) {
      const step = submission.step();
      if (step.type === 'finish') return step.outcome;
      const event = await runStep(step);
      if (event) submission.handle(event);
    }
  };
}

/** An answer that cannot be parsed does not rule out that the update was stored. */
function toSubmissionEvent(error: unknown): SubmissionEvent {
  if (error instanceof VersionConflictError) return { type: 'updateConflicted' };
  const isKnownNotApplied = error instanceof PlatformUnavailableError && !error.mayHaveApplied;
  return { type: 'callFailed', mayHaveApplied: !isKnownNotApplied };
}
