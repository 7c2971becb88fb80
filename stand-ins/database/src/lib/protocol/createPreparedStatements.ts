import { DatabaseError } from '../engine/databaseError';
import { translateStatement } from '../engine/translateStatement';
import { readParameters } from './readParameters';
import type { ParameterType } from './readParameters';
import type { SqlValue } from '../engine/sqlValue';

interface PreparedStatement {
  sql: string;
  parameterCount: number;
  types: readonly ParameterType[];
  /** Pieces of long parameters that were sent ahead. */
  longData: Map<number, Buffer[]>;
}

/** The prepared statements of one connection. */
export interface PreparedStatements {
  prepare: (sql: string) => { id: number; parameterCount: number };
  /** @throws DatabaseError 1243 for an unknown statement, 1210 for parameters that do not fit. */
  bind: (payload: Buffer) => { sql: string; values: SqlValue[] };
  addLongData: (payload: Buffer) => void;
  close: (id: number) => void;
  clear: () => void;
}

/** Creates the empty set of a new connection. */
export function createPreparedStatements(): PreparedStatements {
  const statements = new Map<number, PreparedStatement>();
  let lastId = 0;

  function find(payload: Buffer): PreparedStatement {
    const statement = payload.length >= 5 && statements.get(payload.readUInt32LE(1));
    if (!statement) throw new DatabaseError(1243, 'HY000', 'Unknown prepared statement handler');
    return statement;
  }

  return {
    prepare: (sql) => {
      lastId += 1;
      const { parameterCount } = translateStatement(sql);
      statements.set(lastId, { sql, parameterCount, types: [], longData: new Map() });
      return { id: lastId, parameterCount };
    },
    bind: (payload) => {
      const statement = find(payload);
      const { sql, parameterCount, types, longData } = statement;
      const bound = readParameters({
        payload,
        count: parameterCount,
        knownTypes: types,
        sentAhead: new Set(longData.keys()),
      });
      longData.forEach((pieces, index) => {
        bound.values[index] = new Uint8Array(Buffer.concat(pieces));
      });
      longData.clear();
      statement.types = bound.types;
      return { sql, values: bound.values };
    },
    addLongData: (payload) => {
      const { longData } = find(payload);
      const index = payload.readUInt16LE(5);
      longData.set(index, [...(longData.get(index) ?? []), payload.subarray(7)]);
    },
    close: (id) => {
      statements.delete(id);
    },
    clear: () => statements.clear(),
  };
}
