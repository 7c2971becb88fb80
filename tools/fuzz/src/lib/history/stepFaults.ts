import type { FaultPlan } from './historyPlan';
import type { Step } from './step';

/** A fault that strikes when a step first happens. @public */
export interface StepFault {
  step: Step;
  /** Steps before this time do not count. */
  notBefore: number;
  fault: FaultPlan;
}

/** @public */
export interface StepFaults {
  /** Takes out the fault that waits for this step at this time. */
  take: (step: Step, now: number) => FaultPlan | undefined;
  /** Faults whose step never happened. */
  remaining: () => number;
}

/** Creates the list of faults that wait for their step. @public */
export function createStepFaults(stepFaults: readonly StepFault[]): StepFaults {
  const waiting = [...stepFaults];
  return {
    take: (step, now) => {
      const index = waiting.findIndex((next) => next.step === step && now >= next.notBefore);
      return index < 0 ? undefined : waiting.splice(index, 1)[0]?.fault;
    },
    remaining: () => waiting.length,
  };
}
