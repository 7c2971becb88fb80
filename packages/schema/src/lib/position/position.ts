import { z } from 'zod';

/**
 * A place in the log of a group: the term of the primary that wrote the entry, and its index.
 *
 * Index 0 of term 0 stands before the first entry.
 *
 * @public
 */
export const positionSchema = z.strictObject({
  term: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
});

/** @public */
export type Position = z.infer<typeof positionSchema>;

/** The position before the first entry of every log. @public */
export const ORIGIN: Position = { term: 0, index: 0 };

/**
 * Orders positions by term, then by index.
 *
 * The order says which of two log ends is further. It does not say that a log which ends at the
 * higher one contains the lower: an entry of a former term may have been discarded by a later one.
 *
 * @returns a negative number, zero or a positive number, as `Array.prototype.sort` expects.
 * @public
 */
export function comparePositions(left: Position, right: Position): number {
  if (left.term !== right.term) return left.term - right.term;
  return left.index - right.index;
}

/** Whether `position` is the same as or behind `other`. @public */
export function isAtMost(position: Position, other: Position): boolean {
  return comparePositions(position, other) <= 0;
}

/** The higher of two positions. @public */
export function maxPosition(left: Position, right: Position): Position {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Writes a position as `term:index`, the form of the databases' session tracking. @public */
export function formatPosition(position: Position): string {
  return `${position.term}:${position.index}`;
}

/**
 * Reads `term:index`.
 *
 * @returns the position, or undefined where the text is not one.
 * @public
 */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15}):(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), index: Number(match[2]) };
}
