import { z } from 'zod';

/** What the control port accepts; a key that is left out stays as it was. @public */
export const faultChangesSchema = z.strictObject({
  /** Open connections are cut; every call is answered with 503. */
  outage: z.boolean().optional(),
  /** Pause before each call is looked at. */
  delayMilliseconds: z.number().int().min(0).max(600_000).optional(),
  /** So many of the next object updates are applied, then their connection is cut. */
  loseAnswers: z.number().int().min(0).optional(),
  /** Age of the instance list that is shown. */
  instanceLagMilliseconds: z.number().int().min(0).max(600_000).optional(),
});

/** @public */
export type FaultChanges = z.infer<typeof faultChangesSchema>;

/** @public */
export type FaultState = Required<FaultChanges>;

/** @public */
export interface Faults {
  state: () => FaultState;
  change: (changes: FaultChanges) => void;
  /** Whether the answer of this update is to be lost; uses up one of `loseAnswers`. */
  takeLostAnswer: () => boolean;
}

const NO_FAULTS: FaultState = {
  outage: false,
  delayMilliseconds: 0,
  loseAnswers: 0,
  instanceLagMilliseconds: 0,
};

/**
 * Keeps the faults that are switched on.
 *
 * @param options.onOutage - called when an outage begins.
 * @public
 */
export function createFaults(options: { onOutage: () => void }): Faults {
  let state = NO_FAULTS;

  function change(changes: FaultChanges): void {
    const outageBegins = Boolean(changes.outage) && !state.outage;
    state = { ...state, ...changes };
    if (outageBegins) options.onOutage();
  }

  function takeLostAnswer(): boolean {
    if (state.loseAnswers === 0) return false;
    state = { ...state, loseAnswers: state.loseAnswers - 1 };
    return true;
  }

  return { state: () => state, change, takeLostAnswer };
}
