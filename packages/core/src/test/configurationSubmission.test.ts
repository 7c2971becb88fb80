import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createPatchSubmission } from '..';
import type {
  PatchOutcome,
  PatchSubmission,
  SubmissionEvent,
  SubmissionStep,
  VersionedConfiguration,
} from '..';

type UpdateStep = Extract<SubmissionStep, { type: 'updateObject' }>;

/** How the platform handles one call. */
type CallOutcome = 'answered' | 'requestLost' | 'answerLost' | 'appliedLater' | 'refusedConnection';

/** One step of a simulated history: the operator that proceeds and the outcome of its call. */
interface HistoryStep {
  operator: number;
  callOutcome: CallOutcome;
  /** Whether delayed updates are applied before this step. */
  areDelayedUpdatesApplied: boolean;
}

/** Simulates a platform that stores one object with conditional updates. */
function createFakePlatform() {
  let stored: VersionedConfiguration | undefined;
  const accepted: string[] = [];
  let delayedUpdates: UpdateStep[] = [];

  function update(step: UpdateStep): boolean {
    if (step.expectedVersion !== (stored?.version ?? 0)) return false;
    const { configurationObject } = step;
    stored = { version: step.expectedVersion + 1, configurationObject };
    accepted.push(configurationObject.patches.at(-1)!.patchId);
    return true;
  }

  const answerUpdate: Record<CallOutcome, (step: UpdateStep) => SubmissionEvent> = {
    answered: (step) => ({ type: update(step) ? 'updateStored' : 'updateConflicted' }),
    requestLost: () => ({ type: 'callFailed', mayHaveApplied: true }),
    answerLost: (step) => {
      update(step);
      return { type: 'callFailed', mayHaveApplied: true };
    },
    appliedLater: (step) => {
      delayedUpdates.push(step);
      return { type: 'callFailed', mayHaveApplied: true };
    },
    refusedConnection: () => ({ type: 'callFailed', mayHaveApplied: false }),
  };

  function answer(step: SubmissionStep, callOutcome: CallOutcome): SubmissionEvent {
    if (step.type === 'wait') return { type: 'waitOver' };
    if (step.type === 'updateObject') return answerUpdate[callOutcome](step);
    if (callOutcome === 'answered') return { type: 'objectRead', found: stored };
    return { type: 'callFailed', mayHaveApplied: false };
  }

  function applyDelayedUpdates(): void {
    delayedUpdates.forEach(update);
    delayedUpdates = [];
  }

  return {
    answer,
    applyDelayedUpdates,
    accepted,
    number: () => stored?.configurationObject.number ?? 0,
  };
}

function createSubmission(operator: number): PatchSubmission {
  const patch = { patchId: `patch-${operator}`, againstNumber: 0, author: 'x', changes: {} };
  return createPatchSubmission({ patch, acceptedAt: '2026-01-01', maximumFailures: 3 });
}

/** Runs a history to its end and checks each outcome against the accepted patches. */
function checkHistory(steps: HistoryStep[]): PatchOutcome[] {
  const platform = createFakePlatform();
  const operators = [0, 1, 2].map(createSubmission);
  const remainingSteps = operators.flatMap((unused, operator) =>
    Array.from<unknown, HistoryStep>({ length: 12 }, () => ({
      operator,
      callOutcome: 'answered',
      areDelayedUpdatesApplied: false,
    })),
  );
  [...steps, ...remainingSteps].forEach(({ operator, callOutcome, areDelayedUpdatesApplied }) => {
    if (areDelayedUpdatesApplied) platform.applyDelayedUpdates();
    const submission = operators[operator]!;
    const step = submission.step();
    if (step.type !== 'finish') submission.handle(platform.answer(step, callOutcome));
  });
  platform.applyDelayedUpdates();
  const outcomes = operators.map(readOutcome);
  outcomes.forEach((outcome, operator) => {
    checkOutcome(outcome, platform.accepted, `patch-${operator}`);
  });
  expect(platform.accepted.length).toBe(platform.number());
  return outcomes;
}

function readOutcome(submission: PatchSubmission): PatchOutcome {
  const step = submission.step();
  if (step.type !== 'finish') throw new Error(`unexpected next step: ${step.type}`);
  return step.outcome;
}

function checkOutcome(outcome: PatchOutcome, accepted: string[], patchId: string): void {
  const acceptedCount = accepted.filter((other) => other === patchId).length;
  expect(acceptedCount).toBeLessThanOrEqual(1);
  if (outcome.status === 'unknown') return;
  expect({ outcome, acceptedCount }).toEqual({
    outcome,
    acceptedCount: outcome.status === 'accepted' ? 1 : 0,
  });
  if (outcome.status === 'accepted') expect(accepted[outcome.number - 1]).toBe(patchId);
}

const stepArbitrary = fc.record<HistoryStep>({
  operator: fc.nat({ max: 2 }),
  callOutcome: fc.constantFrom(
    'answered',
    'requestLost',
    'answerLost',
    'appliedLater',
    'refusedConnection',
  ),
  areDelayedUpdatesApplied: fc.boolean(),
});

describe('patch submission', () => {
  // Three operators submit against the same number while calls are refused, lost, or applied late.
  it('never reports an outcome that contradicts the platform', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
        checkHistory(steps);
      }),
      { seed: 20_260_101, numRuns: 3_000 },
    );
  });

  // A patch may have been applied although its answer and all later reads fail.
  it('reports unknown when the answer is lost and the platform becomes unavailable', () => {
    const submission = createSubmission(0);
    const platform = createFakePlatform();
    const callOutcomes: CallOutcome[] = ['answered', 'answerLost', 'answered', 'refusedConnection'];
    [...callOutcomes, ...callOutcomes.slice(2), ...callOutcomes.slice(2)].forEach(
      (callOutcome, index) => {
        const step = submission.step();
        if (step.type === 'finish') return;
        submission.handle(platform.answer(step, index < 2 ? callOutcome : 'refusedConnection'));
      },
    );
    expect(submission.step()).toEqual({
      type: 'finish',
      outcome: { status: 'unknown', patchId: 'patch-0' },
    });
    expect(platform.accepted).toEqual(['patch-0']);
  });
});
