import { classifyStatement, type Statement } from '@wisterialift/core';
import type { UpstreamStatement } from '@wisterialift/mysql';

/** A statement that a caller has prepared. @internal */
export interface PreparedStatement {
  id: number;
  sql: string;
  statement: Statement;
  parameterCount: number;
  /** Types of the parameters as the caller last sent them. */
  types: Buffer | undefined;
  /** Long values that the caller sent ahead of the next execute command. */
  longData: Buffer[];
  longDataBytes: number;
}

/** The prepared statements of one caller connection; their ids mean nothing elsewhere. @internal */
export interface PreparedStatements {
  add: (sql: string, parameterCount: number) => PreparedStatement;
  get: (id: number) => PreparedStatement | undefined;
  close: (id: number) => void;
  clear: () => void;
}

/** @internal */
export function createPreparedStatements(): PreparedStatements {
  const statements = new Map<number, PreparedStatement>();
  let lastId = 0;
  return {
    add: (sql, parameterCount) => {
      lastId += 1;
      const prepared: PreparedStatement = {
        id: lastId,
        sql,
        statement: classifyStatement(sql),
        parameterCount,
        types: undefined,
        longData: [],
        longDataBytes: 0,
      };
      statements.set(lastId, prepared);
      return prepared;
    },
    get: (id) => statements.get(id),
    close: (id) => {
      statements.delete(id);
    },
    clear: () => statements.clear(),
  };
}

/** Bytes of an execute command before the bits that tell which parameters are NULL. */
const FIXED_BYTES = 10;
const BITS = 8;
const BYTES_OF_A_TYPE = 2;

/** An execute command that is shorter than its parameters' description. @internal */
export class CutExecuteError extends Error {
  override name = 'CutExecuteError';
}

/**
 * Turns an execute command of a caller into one for any connection to a database.
 *
 * A caller may send the types of the parameters with the first execute alone. Here the next execute
 * may run on another connection, which never saw them, so they are put in again.
 *
 * @throws CutExecuteError
 * @internal
 */
export function toUpstreamExecute(
  prepared: PreparedStatement,
  payload: Buffer,
): Extract<UpstreamStatement, { type: 'execute' }> {
  const { sql, longData } = prepared;
  const whole = withTypes(prepared, payload);
  Object.assign(prepared, { longData: [], longDataBytes: 0 });
  return { type: 'execute', sql, payload: whole, longData };
}

function withTypes(prepared: PreparedStatement, payload: Buffer): Buffer {
  const { parameterCount } = prepared;
  if (parameterCount === 0) return payload;
  const boundAt = FIXED_BYTES + Math.ceil(parameterCount / BITS);
  const typesAt = boundAt + 1;
  const typesEnd = typesAt + parameterCount * BYTES_OF_A_TYPE;
  if (payload.length <= boundAt) throw new CutExecuteError('no parameters');
  if (payload[boundAt] === 1) {
    if (payload.length < typesEnd) throw new CutExecuteError('no types of the parameters');
    Object.assign(prepared, { types: Buffer.from(payload.subarray(typesAt, typesEnd)) });
    return payload;
  }
  if (!prepared.types) throw new CutExecuteError('the first execute has no types');
  const head = payload.subarray(0, boundAt);
  return Buffer.concat([head, Buffer.from([1]), prepared.types, payload.subarray(typesAt)]);
}
