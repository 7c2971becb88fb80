import type { PreparedDescription } from '@wisterialift/mysql';

/** What the databases of a group answered to statements that callers prepared. @internal */
export interface PreparedDescriptions {
  get: (sql: string) => PreparedDescription | undefined;
  add: (sql: string, description: PreparedDescription) => void;
  /** Forgets all: a definition may have changed the columns. */
  clear: () => void;
}

const MOST_DESCRIPTIONS = 1_000;

/**
 * Creates the memory of descriptions; the one that was added first goes first.
 *
 * A driver that prepares for each call would otherwise cost a database round trip each time.
 *
 * @internal
 */
export function createPreparedDescriptions(): PreparedDescriptions {
  const descriptions = new Map<string, PreparedDescription>();
  return {
    get: (sql) => descriptions.get(sql),
    add: (sql, description) => {
      descriptions.set(sql, description);
      if (descriptions.size <= MOST_DESCRIPTIONS) return;
      const [oldest] = descriptions.keys();
      if (oldest !== undefined) descriptions.delete(oldest);
    },
    clear: () => descriptions.clear(),
  };
}
