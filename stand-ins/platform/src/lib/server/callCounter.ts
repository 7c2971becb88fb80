/** The operations that the platform counts. @public */
export const OPERATIONS = [
  'getObject',
  'watchObject',
  'putObject',
  'listObjects',
  'listInstances',
  'putInstance',
  'removeInstance',
] as const;

/** @public */
export type Operation = (typeof OPERATIONS)[number];

/** Calls by operation since the start; a waiting watch is one call. @public */
export type CallCounts = Record<Operation, number>;

/** @public */
export interface CallCounter {
  count: (operation: Operation) => void;
  counts: () => CallCounts;
}

/** Counts the calls of each operation. @public */
export function createCallCounter(): CallCounter {
  const counts = Object.fromEntries(OPERATIONS.map((operation) => [operation, 0])) as CallCounts;
  return {
    count: (operation) => {
      counts[operation] += 1;
    },
    counts: () => ({ ...counts }),
  };
}
