import type { MemberStatus, Position, TermStart } from '@wisterialift/schema';

/**
 * Whether a log with these term starts contains the entry: the log's entry at that index must have the
 * same term.
 *
 * @internal
 */
export function isInHistory(position: Position, termStarts: readonly TermStart[]): boolean {
  const owner = termStarts.findLast(({ start }) => start < position.index);
  return owner?.term === position.term;
}

/**
 * Whether the member has applied the entry at the position.
 *
 * Comparing positions alone is unsafe: an entry of term 1 that was held when its primary was lost may be
 * acknowledged only through term 3, past a term 2 that started without it. An isolated primary of
 * term 2 that still answers is ahead without the entry.
 *
 * @internal
 */
export function hasApplied({ applied, termStarts }: MemberStatus, position: Position): boolean {
  if (position.index === 0) return true;
  return applied.index >= position.index && isInHistory(position, termStarts);
}
