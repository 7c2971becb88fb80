import type { ClassifiedStatement } from '@wisterialift/core';
import type { SqlBytes, UpstreamStatement } from '@wisterialift/mysql';

/** A statement to prepare. @internal */
export interface PreparableStatement {
  sqlBytes: SqlBytes;
  statement: ClassifiedStatement;
}

/** A statement that a caller has prepared. @internal */
export interface PreparedStatement extends PreparableStatement {
  id: number;
  parameterCount: number;
  /** Parameter types as last sent by the caller. */
  types: Buffer | undefined;
  /** Payloads of COM_STMT_SEND_LONG_DATA for the next execute command. */
  longData: Buffer[];
  longDataBytes: number;
}

/** The prepared statements of one caller connection, by an id that is unique within it. @internal */
export interface PreparedStatements {
  add: (preparable: PreparableStatement, parameterCount: number) => PreparedStatement;
  get: (id: number) => PreparedStatement | undefined;
  close: (id: number) => void;
  clear: () => void;
}

/** @internal */
export function createPreparedStatements(): PreparedStatements {
  const statements = new Map<number, PreparedStatement>();
  let lastId = 0;
  return {
    add: ({ sqlBytes, statement }, parameterCount) => {
      lastId += 1;
      const prepared: PreparedStatement = {
        id: lastId,
        sqlBytes,
        statement,
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

/** Length of an execute command up to its NULL bitmap. */
const EXECUTE_HEADER_BYTES = 10;
const BITS_PER_BYTE = 8;
const PARAMETER_TYPE_BYTES = 2;

/** Thrown if an execute command is too short for its parameters. @internal */
export class TruncatedExecuteError extends Error {
  override name = 'TruncatedExecuteError';
}

/**
 * Converts a caller's execute command to one that can run on any upstream connection.
 *
 * Callers may omit the parameter types after the first execute, so they are inserted into later ones,
 * which may run on other connections.
 *
 * @throws TruncatedExecuteError if the command is too short for its parameters.
 * @internal
 */
export function toUpstreamExecute(
  prepared: PreparedStatement,
  payload: Buffer,
): Extract<UpstreamStatement, { type: 'execute' }> {
  const { sqlBytes, longData } = prepared;
  const completePayload = insertParameterTypes(prepared, payload);
  Object.assign(prepared, { longData: [], longDataBytes: 0 });
  return { type: 'execute', sqlBytes, payload: completePayload, longData };
}

function insertParameterTypes(prepared: PreparedStatement, payload: Buffer): Buffer {
  const { parameterCount } = prepared;
  if (parameterCount === 0) return payload;
  const boundFlagOffset = EXECUTE_HEADER_BYTES + Math.ceil(parameterCount / BITS_PER_BYTE);
  const typesOffset = boundFlagOffset + 1;
  const typesEnd = typesOffset + parameterCount * PARAMETER_TYPE_BYTES;
  if (payload.length <= boundFlagOffset) throw new TruncatedExecuteError('no parameters');
  if (payload[boundFlagOffset] === 1) {
    if (payload.length < typesEnd) throw new TruncatedExecuteError('no types of the parameters');
    Object.assign(prepared, { types: Buffer.from(payload.subarray(typesOffset, typesEnd)) });
    return payload;
  }
  if (!prepared.types) throw new TruncatedExecuteError('the first execute has no types');
  const head = payload.subarray(0, boundFlagOffset);
  return Buffer.concat([head, Buffer.from([1]), prepared.types, payload.subarray(typesOffset)]);
}
