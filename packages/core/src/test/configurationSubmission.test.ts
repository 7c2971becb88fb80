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

/** What the platform does with one call. */
type Fate = 'answered' | 'lostBefore' | 'lostAfter' | 'appliedLater' | 'refusedConnection';

/** One step of a history: which operator goes on, and what the platform does with the call. */
interface Move {
  operator: number;
  fate: Fate;
  /** Whether the updates that were under way reach the platform before this move. */
  isLateArrival: boolean;
}

/** A platform that holds one object under conditional updates. */
function createFakePlatform() {
  let stored: VersionedConfiguration | undefined;
  const accepted: string[] = [];
  let underWay: UpdateStep[] = [];

  function update(step: UpdateStep): boolean {
    if (step.expectedVersion !== (stored?.version ?? 0)) return false;
    const { configurationObject } = step;
    stored = { version: step.expectedVersion + 1, configurationObject };
    accepted.push(configurationObject.patches.at(-1)!.patchId);
    return true;
  }

  const answerUpdate: Record<Fate, (step: UpdateStep) => SubmissionEvent> = {
    answered: (step) => ({ type: update(step) ? 'updateStored' : 'updateConflicted' }),
    lostBefore: () => ({ type: 'callFailed', mayHaveApplied: true }),
    lostAfter: (step) => {
      update(step);
      return { type: 'callFailed', mayHaveApplied: true };
    },
    appliedLater: (step) => {
      underWay.push(step);
      return { type: 'callFailed', mayHaveApplied: true };
    },
    refusedConnection: () => ({ type: 'callFailed', mayHaveApplied: false }),
  };

  function answer(step: SubmissionStep, fate: Fate): SubmissionEvent {
    if (step.type === 'wait') return { type: 'waitOver' };
    if (step.type === 'updateObject') return answerUpdate[fate](step);
    if (fate === 'answered') return { type: 'objectRead', found: stored };
    return { type: 'callFailed', mayHaveApplied: false };
  }

  function deliverLate(): void {
    underWay.forEach(update);
    underWay = [];
  }

  return { answer, deliverLate, accepted, number: () => stored?.configurationObject.number ?? 0 };
}

function createOperator(operator: number): PatchSubmission {
  const patch = { patchId: `patch-${operator}`, againstNumber: 0, author: 'x', changes: {} };
  return createPatchSubmission({ patch, acceptedAt: '2026-01-01', maximumFailures: 3 });
}

/** Plays a history to its end and checks each outcome against what the platform accepted. */
function checkHistory(moves: Move[]): PatchOutcome[] {
  const platform = createFakePlatform();
  const operators = [0, 1, 2].map(createOperator);
  const restOfMoves = operators.flatMap((unused, operator) =>
    Array.from<unknown, Move>({ length: 12 }, () => ({
      operator,
      fate: 'answered',
      isLateArrival: false,
    })),
  );
  [...moves, ...restOfMoves].forEach(({ operator, fate, isLateArrival }) => {
    if (isLateArrival) platform.deliverLate();
    const submission = operators[operator]!;
    const step = submission.step();
    if (step.type !== 'finish') submission.handle(platform.answer(step, fate));
  });
  platform.deliverLate();
  const outcomes = operators.map(outcomeOf);
  outcomes.forEach((outcome, operator) => {
    checkOutcome(outcome, platform.accepted, `patch-${operator}`);
  });
  expect(platform.accepted.length).toBe(platform.number());
  return outcomes;
}

function outcomeOf(submission: PatchSubmission): PatchOutcome {
  const step = submission.step();
  if (step.type !== 'finish') throw new Error(`the submission still wants to ${step.type}`);
  return step.outcome;
}

function checkOutcome(outcome: PatchOutcome, accepted: string[], patchId: string): void {
  const times = accepted.filter((other) => other === patchId).length;
  expect(times).toBeLessThanOrEqual(1);
  if (outcome.status === 'unknown') return;
  expect({ outcome, times }).toEqual({ outcome, times: outcome.status === 'accepted' ? 1 : 0 });
  if (outcome.status === 'accepted') expect(accepted[outcome.number - 1]).toBe(patchId);
}

const moveArbitrary = fc.record<Move>({
  operator: fc.nat({ max: 2 }),
  fate: fc.constantFrom('answered', 'lostBefore', 'lostAfter', 'appliedLater', 'refusedConnection'),
  isLateArrival: fc.boolean(),
});

describe('the submission of a patch', () => {
  /*
   * Three operators submit against the same number while calls are refused, lost before or after they
   * took effect, or arrive after their sender gave up. Whoever is told "accepted", "outdated" or "not
   * accepted" plans the next step by it; an untrue one leaves a building without its rule.
   */
  it('never tells an outcome that the platform does not bear out', () => {
    fc.assert(
      fc.property(fc.array(moveArbitrary, { maxLength: 40 }), (moves) => {
        checkHistory(moves);
      }),
      { seed: 20_260_101, numRuns: 3_000 },
    );
  });

  /*
   * The platform applies a patch, its answer is lost, and the read that would settle it fails as
   * well. The operator must hear "unknown", not that nothing happened.
   */
  it('is unknown when the answer was lost and the platform then stays silent', () => {
    const submission = createOperator(0);
    const platform = createFakePlatform();
    const fates: Fate[] = ['answered', 'lostAfter', 'answered', 'refusedConnection'];
    [...fates, ...fates.slice(2), ...fates.slice(2)].forEach((fate, index) => {
      const step = submission.step();
      if (step.type === 'finish') return;
      submission.handle(platform.answer(step, index < 2 ? fate : 'refusedConnection'));
    });
    expect(submission.step()).toEqual({
      type: 'finish',
      outcome: { status: 'unknown', patchId: 'patch-0' },
    });
    expect(platform.accepted).toEqual(['patch-0']);
  });
});
