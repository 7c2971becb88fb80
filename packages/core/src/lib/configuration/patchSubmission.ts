import type { ConfigurationObject, ConfigurationPatch } from '@wisterialift/schema';
import { assign, initialTransition, setup, transition } from 'xstate';
import type { ConfigurationFault } from './configurationFault';
import { EMPTY_CONFIGURATION_OBJECT } from './emptyConfiguration';
import type { EstablishedMemberSets } from './memberChanges';
import { preparePatch } from './preparePatch';
import type { PreparedPatch } from './preparePatch';
import { findPatchStatus } from './findPatchStatus';

/** Outcome of a patch as reported to the operator. @public */
export type PatchOutcome =
  | { status: 'accepted'; number: number }
  | { status: 'outdated'; presentNumber: number }
  | { status: 'invalid'; faults: ConfigurationFault[] }
  /** The patch may have been accepted; query it or resubmit it under the same id. */
  | { status: 'unknown'; patchId: string };

/** A configuration object and its version in the platform; version 0 if it does not exist. @public */
export interface VersionedConfiguration {
  version: number;
  configurationObject: ConfigurationObject;
}

/** Result of a submission step. @public */
export type SubmissionEvent =
  /** `found` is undefined if the platform has no configuration. */
  | { type: 'objectRead'; found: VersionedConfiguration | undefined }
  | { type: 'updateStored' }
  | { type: 'updateConflicted' }
  | { type: 'callFailed'; mayHaveApplied: boolean }
  | { type: 'waitOver' };

/** Next step of a submission. @public */
export type SubmissionStep =
  | { type: 'readObject' }
  | { type: 'updateObject'; expectedVersion: number; configurationObject: ConfigurationObject }
  /** Wait before the next call; `failures` is the number of failed calls. */
  | { type: 'wait'; failures: number }
  | { type: 'finish'; outcome: PatchOutcome };

/** @public */
export interface PatchSubmissionOptions {
  patch: ConfigurationPatch;
  /** ISO 8601 time; informational only. */
  acceptedAt: string;
  /** Number of failed calls after which the outcome is `unknown`. */
  maximumFailures: number;
  /** Seen by this instance; a group that is missing refuses changes of its members. */
  establishedMemberSets?: EstablishedMemberSets;
}

/** State machine that submits one patch to the platform. @public */
export interface PatchSubmission {
  step: () => SubmissionStep;
  handle: (event: SubmissionEvent) => void;
}

interface SubmissionContext extends PatchSubmissionOptions {
  failures: number;
  /** Whether a sent update may have been applied or may still be applied. */
  mayHaveApplied: boolean;
  /** Configuration object and version from the last read. */
  current: ConfigurationObject;
  version: number;
  prepared: PreparedPatch | undefined;
  outcome: PatchOutcome | undefined;
}

const submissionMachine = setup({
  types: {
    context: {} as SubmissionContext,
    events: {} as SubmissionEvent,
    input: {} as PatchSubmissionOptions,
  },
  guards: {
    isReady: ({ context }) => context.prepared?.status === 'ready',
    isExhausted: ({ context }) => context.failures >= context.maximumFailures,
  },
  actions: {
    applyReadObject: assign(({ context, event }) =>
      event.type === 'objectRead' ? applyReadObject(context, event.found) : {},
    ),
    countFailure: assign(({ context, event }) => ({
      failures: context.failures + 1,
      mayHaveApplied:
        context.mayHaveApplied || (event.type === 'callFailed' && event.mayHaveApplied),
    })),
    setAcceptedOutcome: assign(({ context }) => ({
      outcome: { status: 'accepted', number: context.patch.againstNumber + 1 } as const,
    })),
    setPreparedOutcome: assign(({ context }) => ({ outcome: resolvePreparedPatch(context) })),
    setUnknownOutcome: assign(({ context }) => ({ outcome: createUnknownOutcome(context) })),
  },
}).createMachine({
  id: 'patchSubmission',
  context: ({ input }) => ({
    ...input,
    failures: 0,
    mayHaveApplied: false,
    current: EMPTY_CONFIGURATION_OBJECT,
    version: 0,
    prepared: undefined,
    outcome: undefined,
  }),
  initial: 'reading',
  states: {
    reading: {
      on: {
        objectRead: { target: 'deciding', actions: 'applyReadObject' },
        callFailed: { target: 'failed', actions: 'countFailure' },
      },
    },
    deciding: {
      always: [
        { guard: 'isReady', target: 'updating' },
        { target: 'finished', actions: 'setPreparedOutcome' },
      ],
    },
    updating: {
      on: {
        updateStored: { target: 'finished', actions: 'setAcceptedOutcome' },
        updateConflicted: { target: 'failed', actions: 'countFailure' },
        callFailed: { target: 'failed', actions: 'countFailure' },
      },
    },
    failed: {
      always: [
        { guard: 'isExhausted', target: 'finished', actions: 'setUnknownOutcome' },
        { target: 'waiting' },
      ],
    },
    waiting: { on: { waitOver: 'reading' } },
    finished: { type: 'final' },
  },
});

type StateName = 'reading' | 'updating' | 'waiting' | 'finished';

const describeStep: Record<StateName, (context: SubmissionContext) => SubmissionStep> = {
  reading: () => ({ type: 'readObject' }),
  updating: ({ prepared, version }) => {
    if (prepared?.status !== 'ready') throw new Error('patch is not ready to be stored');
    const { configurationObject } = prepared;
    return { type: 'updateObject', expectedVersion: version, configurationObject };
  },
  waiting: ({ failures }) => ({ type: 'wait', failures }),
  finished: (context) => ({
    type: 'finish',
    outcome: context.outcome ?? createUnknownOutcome(context),
  }),
};

/**
 * Creates the submission of a patch to the platform by a conditional update.
 *
 * If an answer is lost, the submission reads again and looks for the patch id. A found patch is
 * accepted; one whose number was taken is outdated; otherwise the update is repeated with the same
 * expected version, so it is applied at most once.
 *
 * @example
 * const submission = createPatchSubmission({ patch, acceptedAt, maximumFailures: 4 });
 * submission.step(); // { type: 'readObject' }
 * submission.handle({ type: 'objectRead', found: undefined });
 * submission.step(); // { type: 'updateObject', expectedVersion: 0, ... }
 *
 * @public
 */
export function createPatchSubmission(options: PatchSubmissionOptions): PatchSubmission {
  let [snapshot] = initialTransition(submissionMachine, options);
  return {
    step: () => describeStep[snapshot.value as StateName](snapshot.context),
    handle: (event) => {
      [snapshot] = transition(submissionMachine, snapshot, event);
    },
  };
}

function applyReadObject(
  { patch, acceptedAt, establishedMemberSets }: SubmissionContext,
  found: VersionedConfiguration | undefined,
): Partial<SubmissionContext> {
  const current = found?.configurationObject ?? EMPTY_CONFIGURATION_OBJECT;
  const prepared = preparePatch({ current, patch, acceptedAt, establishedMemberSets });
  return { current, version: found?.version ?? 0, prepared };
}

/** Returns the outcome of a patch that needs no update. */
function resolvePreparedPatch(context: SubmissionContext): PatchOutcome {
  const { prepared } = context;
  if (prepared?.status === 'alreadyAccepted') {
    return { status: 'accepted', number: prepared.number };
  }
  if (prepared?.status === 'invalid') return prepared;
  if (prepared?.status === 'outdated') return resolveOutdatedPatch(context, prepared.presentNumber);
  return createUnknownOutcome(context);
}

/**
 * Returns `outdated`, or `unknown` if a sent update may have been applied and the patch history does not
 * show another patch with its number.
 */
function resolveOutdatedPatch(context: SubmissionContext, presentNumber: number): PatchOutcome {
  const { current, mayHaveApplied, patch } = context;
  if (!mayHaveApplied) return { status: 'outdated', presentNumber };
  const result = findPatchStatus({ configurationObject: current, ...patch });
  if (result.status === 'refused') return { status: 'outdated', presentNumber };
  return { status: 'unknown', patchId: patch.patchId };
}

/**
 * Returns `unknown` even if no update was sent: another instance may have stored the same patch.
 * Reporting a failure could lead the operator to apply the change twice.
 */
function createUnknownOutcome({ patch }: SubmissionContext): PatchOutcome {
  return { status: 'unknown', patchId: patch.patchId };
}
