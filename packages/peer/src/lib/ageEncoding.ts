/** Encoding of an unknown age. */
const UNKNOWN_AGE = -1;

/** Encodes an age in milliseconds; Infinity if the platform never answered. */
export function encodeAge(ageMilliseconds: number): number {
  return Number.isFinite(ageMilliseconds) ? Math.max(0, Math.ceil(ageMilliseconds)) : UNKNOWN_AGE;
}

/** Decodes an age in milliseconds; Infinity if the platform never answered the sender. */
export function decodeAge(age: number): number {
  return age < 0 ? Infinity : age;
}
