import { UTF8MB4_COLLATION, columnType, marker, serverStatus } from './constants';
import { encodeLengthEncodedInteger, encodeWithLength } from './lengthEncoded';

/** A result set of text columns that the proxy generates itself. @public */
export interface TextResult {
  columns: string[];
  rows: (string | null)[][];
  /** Whether rows use the binary format, as for prepared statements. */
  isBinary?: boolean;
}

/** Unused bits at the start of the NULL bitmap of a binary row. */
const NULL_BITMAP_RESERVED_BITS = 2;
const BITS_PER_BYTE = 8;

const NULL_VALUE = Buffer.from([0xfb]);
const COLUMN_LENGTH_BYTES = 65_535;

/** Encodes a result set as payloads, one for each packet. @internal */
export function encodeTextResult(result: TextResult, status: number): Buffer[] {
  const { columns, rows, isBinary } = result;
  return [
    encodeLengthEncodedInteger(columns.length),
    ...columns.map(encodeColumnDefinition),
    encodeEof(status),
    ...rows.map(isBinary ? encodeBinaryRow : encodeTextRow),
    encodeEof(status),
  ];
}

/** Encodes the payload of an EOF packet. @internal */
export function encodeEof(status: number = serverStatus.autocommit): Buffer {
  const payload = Buffer.from([marker.eof, 0, 0, 0, 0]);
  payload.writeUInt16LE(status, 3);
  return payload;
}

function encodeColumnDefinition(name: string): Buffer {
  const fixedFields = Buffer.alloc(13);
  fixedFields.writeUInt8(12, 0);
  fixedFields.writeUInt16LE(UTF8MB4_COLLATION, 1);
  fixedFields.writeUInt32LE(COLUMN_LENGTH_BYTES, 3);
  fixedFields.writeUInt8(columnType.variableString, 7);
  const names = ['def', '', '', '', name, name].map(encodeWithLength);
  return Buffer.concat([...names, fixedFields]);
}

function encodeTextRow(row: (string | null)[]): Buffer {
  return Buffer.concat(row.map((value) => (value === null ? NULL_VALUE : encodeWithLength(value))));
}

function encodeBinaryRow(row: (string | null)[]): Buffer {
  const nullBitmap = Buffer.alloc(
    Math.ceil((row.length + NULL_BITMAP_RESERVED_BITS) / BITS_PER_BYTE),
  );
  row.forEach((value, column) => {
    if (value !== null) return;
    const bit = column + NULL_BITMAP_RESERVED_BITS;
    const byte = Math.floor(bit / BITS_PER_BYTE);
    nullBitmap.writeUInt8(nullBitmap.readUInt8(byte) + 2 ** (bit % BITS_PER_BYTE), byte);
  });
  const values = row.filter((value) => value !== null).map(encodeWithLength);
  return Buffer.concat([Buffer.from([0]), nullBitmap, ...values]);
}
