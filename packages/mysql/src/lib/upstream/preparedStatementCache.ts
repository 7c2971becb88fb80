import type { SqlBytes } from '../protocol/sqlBytes';

/** LRU cache of the statement ids of one connection, by SQL text. @internal */
export interface PreparedStatementCache {
  get: (sql: SqlBytes) => number | undefined;
  /** @returns the ids of evicted and replaced statements, which the connection must close. */
  add: (sql: SqlBytes, statementId: number) => number[];
  clear: () => void;
}

/** Creates a cache of at most `maximumStatements` statements. @internal */
export function createPreparedStatementCache(maximumStatements: number): PreparedStatementCache {
  const idsBySql = new Map<SqlBytes, number>();

  const evictExcess = (): number[] => {
    const evictedIds: number[] = [];
    for (const [sql, statementId] of idsBySql) {
      if (idsBySql.size <= maximumStatements) break;
      idsBySql.delete(sql);
      evictedIds.push(statementId);
    }
    return evictedIds;
  };

  return {
    get: (sql) => {
      const statementId = idsBySql.get(sql);
      if (statementId === undefined) return undefined;
      idsBySql.delete(sql);
      idsBySql.set(sql, statementId);
      return statementId;
    },
    add: (sql, statementId) => {
      const replacedId = idsBySql.get(sql);
      idsBySql.set(sql, statementId);
      return replacedId === undefined ? evictExcess() : [replacedId];
    },
    clear: () => idsBySql.clear(),
  };
}
