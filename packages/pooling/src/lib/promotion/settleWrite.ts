import type { Position } from '@wisterialift/schema';

/** Where a term began: the log end of the member that was promoted. @public */
export interface TermOrigin {
  term: number;
  origin: Position;
}

/** What became of a write that was held when its primary was replaced. @public */
export type WriteFate = 'kept' | 'discarded' | 'unknown';

/**
 * Settles a write of a replaced primary by where the next term began.
 *
 * Only the term right after the write's own decides: a later one may have started from a log in
 * which that term's end lies elsewhere.
 *
 * @public
 */
export function settleWrite(position: Position, termOrigin: TermOrigin | undefined): WriteFate {
  if (!termOrigin || termOrigin.term !== position.term + 1) return 'unknown';
  if (termOrigin.origin.term !== position.term) return 'unknown';
  return position.index <= termOrigin.origin.index ? 'kept' : 'discarded';
}
