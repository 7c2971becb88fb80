/** Statement ids of one connection, by statement text; the least recently used goes first. @internal */
export interface PreparedCache {
  get: (sql: string) => number | undefined;
  /** @returns ids that no longer have a place and are to be closed. */
  add: (sql: string, statementId: number) => number[];
  clear: () => void;
}

/** Creates a cache of at most `size` statements. @internal */
export function createPreparedCache(size: number): PreparedCache {
  const idsByText = new Map<string, number>();

  const dropOldest = (): number[] => {
    const dropped: number[] = [];
    for (const [sql, statementId] of idsByText) {
      if (idsByText.size <= size) break;
      idsByText.delete(sql);
      dropped.push(statementId);
    }
    return dropped;
  };

  return {
    get: (sql) => {
      const statementId = idsByText.get(sql);
      if (statementId === undefined) return undefined;
      idsByText.delete(sql);
      idsByText.set(sql, statementId);
      return statementId;
    },
    add: (sql, statementId) => {
      idsByText.set(sql, statementId);
      return dropOldest();
    },
    clear: () => idsByText.clear(),
  };
}
