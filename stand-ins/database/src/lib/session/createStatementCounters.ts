import type { StatementKind } from './statementKind';

/** Counts what the database ran, so that a trial can tell which member served what. */
export interface StatementCounters {
  count: (kind: StatementKind) => void;
  read: () => Partial<Record<StatementKind, number>>;
}

/** Starts at zero. */
export function createStatementCounters(): StatementCounters {
  const counts: Partial<Record<StatementKind, number>> = {};
  return {
    count: (kind) => {
      counts[kind] = (counts[kind] ?? 0) + 1;
    },
    read: () => ({ ...counts }),
  };
}
