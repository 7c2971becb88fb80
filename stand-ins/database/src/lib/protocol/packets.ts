/* eslint-disable no-bitwise -- the protocol packs flags into bits */
import type { Position } from '@wisterialift/schema';
import { formatPosition } from '@wisterialift/schema';
import type { SqlValue } from '../engine/sqlValue';

/** Capability flags of the MySQL protocol that the stand-in speaks. */
export const CAPABILITIES = {
  longPassword: 0x1,
  foundRows: 0x2,
  longFlag: 0x4,
  connectWithDatabase: 0x8,
  protocol41: 0x200,
  transactions: 0x2000,
  secureConnection: 0x8000,
  multiResults: 0x20000,
  preparedMultiResults: 0x40000,
  pluginAuthentication: 0x80000,
  connectAttributes: 0x100000,
  pluginAuthenticationLengthEncoded: 0x200000,
  sessionTrack: 0x800000,
} as const;

/** Every flag that the stand-in offers. */
export const SERVED_CAPABILITIES = Object.values(CAPABILITIES).reduce(
  (flags, flag) => flags | flag,
  0,
);

/** Whether a client's flags contain a capability. */
export function hasCapability(flags: number, name: keyof typeof CAPABILITIES): boolean {
  return (flags & CAPABILITIES[name]) !== 0;
}

const STATUS_IN_TRANSACTION = 0x1;
const STATUS_AUTOCOMMIT = 0x2;
const STATUS_SESSION_STATE_CHANGED = 0x4000;
const SESSION_TRACK_GTIDS = 3;
const UTF8_CHARACTER_SET = 45;
const BINARY_CHARACTER_SET = 63;
const BINARY_FLAG = 0x80;
const MAXIMUM_PAYLOAD = 0xff_ff_ff;

/** Column types of the protocol. */
export const COLUMN_TYPES = { double: 5, longLong: 8, blob: 252, varString: 253 } as const;

/** One column of a result. */
export interface Column {
  name: string;
  type: number;
}

/** Writes an unsigned number in the protocol's variable length. */
function lengthEncoded(value: number): Buffer {
  if (value < 0xfb) return Buffer.from([value]);
  if (value <= 0xff_ff) return withTag(0xfc, value, 2);
  if (value <= 0xff_ff_ff) return withTag(0xfd, value, 3);
  const buffer = Buffer.alloc(9);
  buffer[0] = 0xfe;
  buffer.writeBigUInt64LE(BigInt(value), 1);
  return buffer;
}

function withTag(tag: number, value: number, size: number): Buffer {
  const buffer = Buffer.alloc(size + 1);
  buffer[0] = tag;
  buffer.writeUIntLE(value, 1, size);
  return buffer;
}

function lengthEncodedBytes(value: string | Uint8Array): Buffer {
  const bytes = typeof value === 'string' ? Buffer.from(value) : value;
  return Buffer.concat([lengthEncoded(bytes.length), bytes]);
}

function unsigned(value: number, size: number): Buffer {
  const buffer = Buffer.alloc(size);
  buffer.writeUIntLE(value, 0, size);
  return buffer;
}

/** What an OK packet tells. */
export interface OkOptions {
  affectedRows?: number;
  insertId?: number;
  isInTransaction?: boolean;
  /** Position of the written log entry; sent as a tracked GTID where the client can read it. */
  position?: Position;
  tracksSession?: boolean;
}

/** The OK packet, with session tracking. */
export function okPayload(options: OkOptions = {}): Buffer {
  const { affectedRows = 0, insertId = 0, position, tracksSession = false } = options;
  const isTracked = tracksSession && position !== undefined;
  const status =
    statusFlags(options.isInTransaction) | (isTracked ? STATUS_SESSION_STATE_CHANGED : 0);
  const head = [
    Buffer.from([0]),
    lengthEncoded(affectedRows),
    lengthEncoded(insertId),
    unsigned(status, 2),
    unsigned(0, 2),
  ];
  if (!isTracked) return Buffer.concat(head);
  const gtid = Buffer.concat([Buffer.from([0]), lengthEncodedBytes(formatPosition(position))]);
  const state = Buffer.concat([Buffer.from([SESSION_TRACK_GTIDS]), lengthEncodedBytes(gtid)]);
  return Buffer.concat([...head, lengthEncodedBytes(''), lengthEncodedBytes(state)]);
}

function statusFlags(isInTransaction = false): number {
  return STATUS_AUTOCOMMIT | (isInTransaction ? STATUS_IN_TRANSACTION : 0);
}

/** The error packet. */
export function errorPayload(code: number, sqlState: string, message: string): Buffer {
  return Buffer.concat([
    Buffer.from([0xff]),
    unsigned(code, 2),
    Buffer.from(`#${sqlState}`),
    Buffer.from(message),
  ]);
}

/** The end of columns or rows. */
export function endPayload(isInTransaction = false): Buffer {
  return Buffer.concat([
    Buffer.from([0xfe]),
    unsigned(0, 2),
    unsigned(statusFlags(isInTransaction), 2),
  ]);
}

/** The number of columns that follow. */
export function columnCountPayload(count: number): Buffer {
  return lengthEncoded(count);
}

/** The definition of one column. */
export function columnPayload({ name, type }: Column): Buffer {
  const isBinary = type !== COLUMN_TYPES.varString;
  const empty = lengthEncodedBytes('');
  return Buffer.concat([
    lengthEncodedBytes('def'),
    empty,
    empty,
    empty,
    lengthEncodedBytes(name),
    empty,
    Buffer.from([0x0c]),
    unsigned(isBinary ? BINARY_CHARACTER_SET : UTF8_CHARACTER_SET, 2),
    unsigned(MAXIMUM_PAYLOAD, 4),
    Buffer.from([type]),
    unsigned(isBinary ? BINARY_FLAG : 0, 2),
    Buffer.from([0]),
    unsigned(0, 2),
  ]);
}

/** A row of a text result. */
export function textRowPayload(row: readonly SqlValue[]): Buffer {
  return Buffer.concat(
    row.map((value) => {
      if (value === null) return Buffer.from([0xfb]);
      return lengthEncodedBytes(value instanceof Uint8Array ? value : String(value));
    }),
  );
}

/** A row of a prepared statement's result. */
export function binaryRowPayload(row: readonly SqlValue[], columns: readonly Column[]): Buffer {
  const nulls = Buffer.alloc(Math.floor((row.length + 9) / 8));
  const parts: Buffer[] = [Buffer.from([0]), nulls];
  row.forEach((value, index) => {
    if (value === null) {
      const bit = index + 2;
      nulls[bit >> 3] = (nulls[bit >> 3] ?? 0) | (1 << (bit & 7));
      return;
    }
    parts.push(binaryValue(value, columns[index]?.type ?? COLUMN_TYPES.varString));
  });
  return Buffer.concat(parts);
}

function binaryValue(value: Exclude<SqlValue, null>, type: number): Buffer {
  if (type === COLUMN_TYPES.longLong && typeof value === 'bigint') {
    const buffer = Buffer.alloc(8);
    buffer.writeBigInt64LE(value);
    return buffer;
  }
  if (type === COLUMN_TYPES.double) {
    const buffer = Buffer.alloc(8);
    buffer.writeDoubleLE(Number(value));
    return buffer;
  }
  return lengthEncodedBytes(value instanceof Uint8Array ? value : String(value));
}

/** The first packet of the answer to a prepare. */
export function preparedPayload(id: number, columnCount: number, parameterCount: number): Buffer {
  return Buffer.concat([
    Buffer.from([0]),
    unsigned(id, 4),
    unsigned(columnCount, 2),
    unsigned(parameterCount, 2),
    Buffer.from([0]),
    unsigned(0, 2),
  ]);
}

/** Puts the header before a payload; a payload beyond the protocol's bound goes in parts. */
export function frame(payload: Buffer, sequence: number): { bytes: Buffer; next: number } {
  const parts: Buffer[] = [];
  let next = sequence;
  let offset = 0;
  for (;;) {
    const part = payload.subarray(offset, offset + MAXIMUM_PAYLOAD);
    parts.push(unsigned(part.length, 3), Buffer.from([next & 0xff]), part);
    next += 1;
    offset += part.length;
    if (part.length < MAXIMUM_PAYLOAD) break;
  }
  return { bytes: Buffer.concat(parts), next };
}
