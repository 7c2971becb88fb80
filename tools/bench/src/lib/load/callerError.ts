/** What an error that a caller got says about its request. */
export type ErrorMeaning = 'notRun' | 'unknown' | 'discarded' | 'databaseError';

const MEANINGS: Record<number, ErrorMeaning> = {
  9101: 'notRun',
  9102: 'unknown',
  9103: 'discarded',
};

/** Codes by which a proxy refuses a connection; nothing was sent over it. */
const CONNECTION_REFUSALS = new Set([1040, 1045, 1226]);

/** Reads the meaning of an error; a connection that broke off leaves the outcome unknown. */
export function findErrorMeaning(error: unknown): ErrorMeaning {
  const { errno, fatal } = error as { errno?: number; fatal?: boolean };
  const meaning = MEANINGS[errno ?? 0];
  if (meaning) return meaning;
  if (CONNECTION_REFUSALS.has(errno ?? 0)) return 'notRun';
  return fatal || errno === undefined || errno < 1_000 ? 'unknown' : 'databaseError';
}

/** Whether the connection can still be used after an error. */
export function isConnectionUsable(error: unknown): boolean {
  const { errno, fatal } = error as { errno?: number; fatal?: boolean };
  return !fatal && errno !== undefined && errno >= 1_000;
}
