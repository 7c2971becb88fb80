import type { MemberStatus, Position, TermStart } from '@wisterialift/schema';

/**
 * Whether the entry is part of the history: the last term that started before it is its own.
 *
 * @internal
 */
export function isInHistory(position: Position, termStarts: readonly TermStart[]): boolean {
  const owner = termStarts.findLast(({ start }) => start < position.index);
  return owner?.term === position.term;
}

/**
 * Whether the member's reads show the acknowledged entry.
 *
 * The order of positions is not enough. An entry of term 1 that was held when its primary was lost
 * may be acknowledged only through term 3, past a term 2 that started without it; the primary of
 * term 2, cut off and still answering, has a higher position and lacks the entry.
 *
 * @internal
 */
export function shows({ applied, termStarts }: MemberStatus, position: Position): boolean {
  if (position.index === 0) return true;
  return applied.index >= position.index && isInHistory(position, termStarts);
}
