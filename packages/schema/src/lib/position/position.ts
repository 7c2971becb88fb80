import { z } from 'zod';

/**
 * A position in the log of a group: the term of the primary that wrote the entry, and its index.
 *
 * @public
 */
export const positionSchema = z.strictObject({
  term: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
});

/** @public */
export type Position = z.infer<typeof positionSchema>;

/** The position before the first entry of a log. @public */
export const INITIAL_POSITION: Position = { term: 0, index: 0 };

/**
 * Orders positions by term, then by index.
 *
 * A log does not necessarily contain all positions below its end: entries of earlier terms may have
 * been discarded.
 *
 * @returns a negative number, zero or a positive number, as `Array.prototype.sort` expects.
 * @public
 */
export function comparePositions(left: Position, right: Position): number {
  if (left.term !== right.term) return left.term - right.term;
  return left.index - right.index;
}

/** Whether `position` is equal to or lower than `other`. @public */
export function isAtMost(position: Position, other: Position): boolean {
  return comparePositions(position, other) <= 0;
}

/** The higher of two positions. @public */
export function getHigherPosition(left: Position, right: Position): Position {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Formats a position as `term:index`, the format that databases report in MySQL session tracking. @public */
export function formatPosition(position: Position): string {
  return `${position.term}:${position.index}`;
}

/**
 * Parses `term:index`.
 *
 * @returns undefined if the text is not a position.
 * @public
 */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15}):(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), index: Number(match[2]) };
}
