import type { ConfigurationObject, ConfigurationPatch } from '@wisterialift/schema';
import { assign, initialTransition, setup, transition } from 'xstate';
import type { ConfigurationFault } from './configurationFault';
import { EMPTY_CONFIGURATION_OBJECT } from './emptyConfiguration';
import { preparePatch } from './preparePatch';
import type { PreparedPatch } from './preparePatch';
import { settlePatch } from './settlePatch';

/** What an operator is told about a patch. @public */
export type PatchOutcome =
  | { status: 'accepted'; number: number }
  | { status: 'outdated'; presentNumber: number }
  | { status: 'invalid'; faults: ConfigurationFault[] }
  /** It may or may not be accepted: ask again by its id, or submit it again under the same id. */
  | { status: 'unknown'; patchId: string };

/** The configuration object with the version that the platform gave it; 0 where there is none. @public */
export interface VersionedConfiguration {
  version: number;
  configurationObject: ConfigurationObject;
}

/** How the last step of a submission went. @public */
export type SubmissionEvent =
  /** `found` is undefined where the platform holds no configuration yet. */
  | { type: 'objectRead'; found: VersionedConfiguration | undefined }
  | { type: 'updateStored' }
  | { type: 'updateConflicted' }
  | { type: 'callFailed'; mayHaveApplied: boolean }
  | { type: 'waitOver' };

/** What the task has to do next for a submission. @public */
export type SubmissionStep =
  | { type: 'readObject' }
  | { type: 'updateObject'; expectedVersion: number; configurationObject: ConfigurationObject }
  /** Pause before the next call; `failures` is how many calls have failed so far. */
  | { type: 'wait'; failures: number }
  | { type: 'finish'; outcome: PatchOutcome };

/** @public */
export interface PatchSubmissionOptions {
  patch: ConfigurationPatch;
  /** ISO 8601 time, for people only. */
  acceptedAt: string;
  /** Calls that may fail before the submission ends without an answer. */
  maximumFailures: number;
}

/** One patch on its way to the platform. @public */
export interface PatchSubmission {
  step: () => SubmissionStep;
  handle: (event: SubmissionEvent) => void;
}

interface SubmissionContext extends PatchSubmissionOptions {
  failures: number;
  /** Whether an update that was sent may have taken effect or may still do so. */
  mayHaveApplied: boolean;
  /** What the platform held when it was last read, and its version. */
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
    rememberObject: assign(({ context, event }) =>
      event.type === 'objectRead' ? readObject(context, event.found) : {},
    ),
    countFailure: assign(({ context, event }) => ({
      failures: context.failures + 1,
      mayHaveApplied:
        context.mayHaveApplied || (event.type === 'callFailed' && event.mayHaveApplied),
    })),
    settleAccepted: assign(({ context }) => ({
      outcome: { status: 'accepted', number: context.patch.againstNumber + 1 } as const,
    })),
    settlePrepared: assign(({ context }) => ({ outcome: outcomeOfPrepared(context) })),
    giveUp: assign(({ context }) => ({ outcome: outcomeWithoutAnswer(context) })),
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
        objectRead: { target: 'deciding', actions: 'rememberObject' },
        callFailed: { target: 'failed', actions: 'countFailure' },
      },
    },
    deciding: {
      always: [
        { guard: 'isReady', target: 'updating' },
        { target: 'finished', actions: 'settlePrepared' },
      ],
    },
    updating: {
      on: {
        updateStored: { target: 'finished', actions: 'settleAccepted' },
        updateConflicted: { target: 'failed', actions: 'countFailure' },
        callFailed: { target: 'failed', actions: 'countFailure' },
      },
    },
    failed: {
      always: [
        { guard: 'isExhausted', target: 'finished', actions: 'giveUp' },
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
    if (prepared?.status !== 'ready') throw new Error('nothing is ready to be stored');
    const { configurationObject } = prepared;
    return { type: 'updateObject', expectedVersion: version, configurationObject };
  },
  waiting: ({ failures }) => ({ type: 'wait', failures }),
  finished: (context) => ({
    type: 'finish',
    outcome: context.outcome ?? outcomeWithoutAnswer(context),
  }),
};

/**
 * Brings one patch to the platform: read, update under the version that was read, and, where an
 * answer was lost, read back.
 *
 * A lost answer does not say whether the update took effect. The machine therefore reads again and
 * looks for the patch id: found, the patch is accepted; another patch in its place, it is outdated
 * for good; neither, the same update is sent again under the same version, of which at most one can
 * take effect. Without an answer the outcome is `unknown`, also where this submission sent nothing.
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

function readObject(
  { patch, acceptedAt }: SubmissionContext,
  found: VersionedConfiguration | undefined,
): Partial<SubmissionContext> {
  const current = found?.configurationObject ?? EMPTY_CONFIGURATION_OBJECT;
  const prepared = preparePatch({ current, patch, acceptedAt });
  return { current, version: found?.version ?? 0, prepared };
}

/** The outcome of a patch that needs no update. */
function outcomeOfPrepared(context: SubmissionContext): PatchOutcome {
  const { prepared } = context;
  if (prepared?.status === 'alreadyAccepted') {
    return { status: 'accepted', number: prepared.number };
  }
  if (prepared?.status === 'invalid') return prepared;
  if (prepared?.status === 'outdated') return outcomeOfOutdated(context, prepared.presentNumber);
  return outcomeWithoutAnswer(context);
}

/** A patch that was sent may have been accepted so long ago that the object has forgotten it. */
function outcomeOfOutdated(context: SubmissionContext, presentNumber: number): PatchOutcome {
  const { current, mayHaveApplied, patch } = context;
  if (!mayHaveApplied) return { status: 'outdated', presentNumber };
  const finding = settlePatch({ configurationObject: current, ...patch });
  if (finding.status === 'refused') return { status: 'outdated', presentNumber };
  return { status: 'unknown', patchId: patch.patchId };
}

/**
 * Guards against calling a stored patch not accepted. A submission that sent nothing may repeat one,
 * perhaps of another instance, whose update took effect while its answer was lost; told "nothing has
 * changed", the operator would make the change a second time under another id.
 */
function outcomeWithoutAnswer({ patch }: SubmissionContext): PatchOutcome {
  return { status: 'unknown', patchId: patch.patchId };
}
