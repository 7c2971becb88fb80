/* eslint-disable no-bitwise -- the protocol marks NULLs in a bitmap */
import { DatabaseError } from '../engine/databaseError';
import type { SqlValue } from '../engine/sqlValue';
import { createByteReader } from './createByteReader';
import type { ByteReader } from './createByteReader';

/** Type and sign of a parameter, as the client bound it. */
export interface ParameterType {
  type: number;
  isUnsigned: boolean;
}

/** Values of one execution; `types` are kept for later ones that bind none. */
export interface BoundParameters {
  values: SqlValue[];
  types: ParameterType[];
}

/** What COM_STMT_EXECUTE brought, and what is known of its statement. */
export interface ParameterOptions {
  payload: Buffer;
  count: number;
  knownTypes: readonly ParameterType[];
  /** Parameters whose data was sent ahead; the payload leaves them out. */
  sentAhead: ReadonlySet<number>;
}

type ValueReader = (reader: ByteReader, isUnsigned: boolean) => SqlValue;

const readInteger =
  (size: number): ValueReader =>
  (reader, isUnsigned) => {
    const bytes = reader.take(size);
    return BigInt(isUnsigned ? bytes.readUIntLE(0, size) : bytes.readIntLE(0, size));
  };

const readLongLong: ValueReader = (reader, isUnsigned) => {
  const bytes = reader.take(8);
  return isUnsigned ? bytes.readBigUInt64LE() : bytes.readBigInt64LE();
};

const readText: ValueReader = (reader) => reader.takeLengthEncoded().toString('utf8');

const readBlob: ValueReader = (reader) => new Uint8Array(reader.takeLengthEncoded());

const readDateTime: ValueReader = (reader) => {
  const bytes = reader.take(reader.takeByte());
  if (bytes.length < 4) return '0000-00-00';
  const date = [pad(bytes.readUInt16LE(0), 4), pad(bytes[2], 2), pad(bytes[3], 2)].join('-');
  if (bytes.length < 7) return date;
  const time = [...bytes.subarray(4, 7)].map((part) => pad(part, 2)).join(':');
  return bytes.length < 11 ? `${date} ${time}` : `${date} ${time}.${pad(bytes.readUInt32LE(7), 6)}`;
};

/** Readers by the protocol's type number. */
const VALUE_READERS: Record<number, ValueReader> = {
  0: readText,
  1: readInteger(1),
  2: readInteger(2),
  3: readInteger(4),
  4: (reader) => reader.take(4).readFloatLE(),
  5: (reader) => reader.take(8).readDoubleLE(),
  6: () => null,
  7: readDateTime,
  8: readLongLong,
  9: readInteger(4),
  10: readDateTime,
  12: readDateTime,
  13: readInteger(2),
  15: readText,
  245: readText,
  246: readText,
  249: readBlob,
  250: readBlob,
  251: readBlob,
  252: readBlob,
  253: readText,
  254: readText,
};

/** Offset of the parameters in COM_STMT_EXECUTE: command, statement, flags, iterations. */
const PARAMETERS_OFFSET = 10;

/**
 * Reads the parameters of COM_STMT_EXECUTE.
 *
 * @throws DatabaseError 1210 for a payload that does not fit the statement.
 */
export function readParameters(options: ParameterOptions): BoundParameters {
  if (options.count === 0) return { values: [], types: [] };
  try {
    return readAll(options);
  } catch {
    throw new DatabaseError(1210, 'HY000', 'Incorrect arguments to EXECUTE');
  }
}

function readAll({ payload, count, knownTypes, sentAhead }: ParameterOptions): BoundParameters {
  const reader = createByteReader(payload, PARAMETERS_OFFSET);
  const nulls = reader.take((count + 7) >> 3);
  const bindsTypes = reader.takeByte() === 1;
  const types = bindsTypes ? readTypes(reader, count) : [...knownTypes];
  if (types.length !== count) throw new RangeError('parameters without types');
  const values = types.map(({ type, isUnsigned }, index) => {
    const isNull = ((nulls[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
    if (isNull || sentAhead.has(index)) return null;
    const read = VALUE_READERS[type];
    if (!read) throw new RangeError(`parameter type ${type}`);
    return read(reader, isUnsigned);
  });
  return { values, types };
}

function readTypes(reader: ByteReader, count: number): ParameterType[] {
  return Array.from({ length: count }, () => ({
    type: reader.takeByte(),
    isUnsigned: reader.takeByte() >= 0x80,
  }));
}

function pad(value: number | undefined, size: number): string {
  return String(value ?? 0).padStart(size, '0');
}
