/** What the caller of a write was told. */
export type WriteOutcome =
  | 'acknowledged'
  /** Told that nothing is kept. */
  | 'promised'
  | 'unknown';

/** One attempt to write; its value is unique in the run. */
export interface WriteAttempt {
  session: string;
  items: string[];
  value: string;
  /** Rises with each attempt of the items' only writer. */
  number: number;
  outcome: WriteOutcome;
  /** When the answer came, in steady milliseconds. */
  answeredAt: number;
}

/** What a caller saw that breaks a promise. */
export interface Violation {
  promise: string;
  detail: string;
}

/** What all callers of a run did and saw. */
export interface History {
  attempts: WriteAttempt[];
  violations: Violation[];
  reads: number;
  refusals: Map<string, number>;
  recordRefusal: (end: string) => void;
  /** Highest number acknowledged for an item before a moment, by one session or by any. */
  highestAcknowledged: (options: { item: string; before: number; session?: string }) => number;
}

export function createHistory(): History {
  const attempts: WriteAttempt[] = [];
  const refusals = new Map<string, number>();

  return {
    attempts,
    violations: [],
    reads: 0,
    refusals,
    recordRefusal: (end) => {
      const [, code = 'closed'] = end.split(' ');
      refusals.set(code, (refusals.get(code) ?? 0) + 1);
    },
    highestAcknowledged: ({ item, before, session }) =>
      attempts
        .filter((attempt) => attempt.outcome === 'acknowledged' && attempt.items.includes(item))
        .filter((attempt) => attempt.answeredAt <= before)
        .filter((attempt) => session === undefined || attempt.session === session)
        .reduce((highest, { number }) => Math.max(highest, number), 0),
  };
}

/** The number in a value, or 0 for the value that an item never had. */
export function numberOf(value: string | undefined): number {
  return Number(value?.split(':')[1] ?? 0);
}
