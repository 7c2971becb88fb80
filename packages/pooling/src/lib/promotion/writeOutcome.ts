import type { Position } from '@wisterialift/schema';

/** Log end of the promoted member, from which a term started. @public */
export interface TermOrigin {
  term: number;
  origin: Position;
}

/** Outcome of a write that was in progress when its primary was replaced. @public */
export type WriteOutcome = 'kept' | 'discarded' | 'unknown';

/**
 * Determines the outcome of a write from the log end that the next term started from.
 *
 * Conclusive only if the directly following term is known and started from an entry of the write's
 * own term; otherwise the outcome is unknown. A later term may have started from a log in which the
 * end of the write's term lies elsewhere.
 *
 * @public
 */
export function determineWriteOutcome(
  position: Position,
  termOrigin: TermOrigin | undefined,
): WriteOutcome {
  if (!termOrigin || termOrigin.term !== position.term + 1) return 'unknown';
  if (termOrigin.origin.term !== position.term) return 'unknown';
  return position.index <= termOrigin.origin.index ? 'kept' : 'discarded';
}
