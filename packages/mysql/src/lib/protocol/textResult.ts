import { UTF8MB4_COLLATION, columnType, marker, serverStatus } from './constants';
import { encodeLength, encodeWithLength } from './lengthEncoded';

/** Rows of text that the proxy answers by itself. @public */
export interface TextResult {
  columns: string[];
  rows: (string | null)[][];
  /** Whether the rows answer a prepared statement. */
  isBinary?: boolean;
}

/** Bits of a binary row's NULL map that stand before the first column's. */
const RESERVED_BITS = 2;
const BITS = 8;

const NULL_VALUE = Buffer.from([0xfb]);
const LONGEST_VALUE = 65_535;

/** Writes the payloads of a text result set, one a packet. @internal */
export function encodeTextResult(result: TextResult, status: number): Buffer[] {
  const { columns, rows, isBinary } = result;
  return [
    encodeLength(columns.length),
    ...columns.map(encodeColumn),
    encodeEof(status),
    ...rows.map(isBinary ? encodeBinaryRow : encodeRow),
    encodeEof(status),
  ];
}

/** Writes the payload of an EOF packet. @internal */
export function encodeEof(status: number = serverStatus.autocommit): Buffer {
  const payload = Buffer.from([marker.eof, 0, 0, 0, 0]);
  payload.writeUInt16LE(status, 3);
  return payload;
}

function encodeColumn(name: string): Buffer {
  const fixed = Buffer.alloc(13);
  fixed.writeUInt8(12, 0);
  fixed.writeUInt16LE(UTF8MB4_COLLATION, 1);
  fixed.writeUInt32LE(LONGEST_VALUE, 3);
  fixed.writeUInt8(columnType.variableString, 7);
  const names = ['def', '', '', '', name, name].map(encodeWithLength);
  return Buffer.concat([...names, fixed]);
}

function encodeRow(row: (string | null)[]): Buffer {
  return Buffer.concat(row.map((value) => (value === null ? NULL_VALUE : encodeWithLength(value))));
}

function encodeBinaryRow(row: (string | null)[]): Buffer {
  const nulls = Buffer.alloc(Math.ceil((row.length + RESERVED_BITS) / BITS));
  row.forEach((value, column) => {
    if (value !== null) return;
    const bit = column + RESERVED_BITS;
    const byte = Math.floor(bit / BITS);
    nulls.writeUInt8(nulls.readUInt8(byte) + 2 ** (bit % BITS), byte);
  });
  const values = row.filter((value) => value !== null).map(encodeWithLength);
  return Buffer.concat([Buffer.from([0]), nulls, ...values]);
}
