import { INITIAL_POSITION } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';

/** Where the terms of a group began, which tells what its promotions kept. @internal */
export interface TermHistory {
  /** Number of the last term that began. */
  getNewestTerm: () => number;
  /** A member leads a new term from the end of its log on. */
  begin: (term: number, origin: Position) => void;
  /** Whether the log that ends at `end` holds the entry at `position`. */
  holds: (end: Position, position: Position) => boolean;
  /** Whether the newest term began in a log that lacks the entry at `position`. */
  isRolledBack: (position: Position) => boolean;
}

/** Creates the history of a group that is in its first term. @internal */
export function createTermHistory(): TermHistory {
  const origins = new Map<number, Position>();

  const getNewestTerm = () => Math.max(INITIAL_POSITION.term, ...origins.keys());

  function holds(end: Position, position: Position): boolean {
    let last = end;
    while (last.term > position.term) last = origins.get(last.term) ?? INITIAL_POSITION;
    return last.term === position.term && last.index >= position.index;
  }

  return {
    getNewestTerm,
    begin: (term, origin) => origins.set(term, origin),
    holds,
    isRolledBack: (position) => {
      const newest = getNewestTerm();
      return newest > position.term && !holds(origins.get(newest)!, position);
    },
  };
}
