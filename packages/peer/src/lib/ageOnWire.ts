/** How an age that is not known is written in messages. */
const NEVER = -1;

/** Writes an age in milliseconds; Infinity where the platform never answered. */
export function encodeAge(ageMilliseconds: number): number {
  return Number.isFinite(ageMilliseconds) ? Math.max(0, Math.ceil(ageMilliseconds)) : NEVER;
}

/** Reads an age in milliseconds; Infinity where the platform never answered there. */
export function decodeAge(age: number): number {
  return age < 0 ? Infinity : age;
}
