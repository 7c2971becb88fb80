const TWO_BYTE_PREFIX = 0xfc;
const THREE_BYTE_PREFIX = 0xfd;
const EIGHT_BYTE_PREFIX = 0xfe;

/** Returns the size in bytes of the length-encoded integer at `offset`. @internal */
export function getLengthEncodedIntegerSize(buffer: Buffer, offset: number): number {
  const sizes: Record<number, number> = {
    [TWO_BYTE_PREFIX]: 3,
    [THREE_BYTE_PREFIX]: 4,
    [EIGHT_BYTE_PREFIX]: 9,
  };
  return sizes[buffer.readUInt8(offset)] ?? 1;
}

/** Reads the length-encoded integer at `offset`; inexact above 2^53. @internal */
export function readLengthEncodedInteger(buffer: Buffer, offset: number): number {
  const first = buffer.readUInt8(offset);
  if (first === TWO_BYTE_PREFIX) return buffer.readUInt16LE(offset + 1);
  if (first === THREE_BYTE_PREFIX) return buffer.readUIntLE(offset + 1, 3);
  if (first === EIGHT_BYTE_PREFIX) return Number(buffer.readBigUInt64LE(offset + 1));
  return first;
}

/** Encodes an integer up to 2^53 as a length-encoded integer. @internal */
export function encodeLengthEncodedInteger(value: number): Buffer {
  if (value < 0xfb) return Buffer.from([value]);
  if (value < 0x1_0000) return Buffer.from([TWO_BYTE_PREFIX, value % 256, Math.floor(value / 256)]);
  if (value >= 0x100_0000) {
    const long = Buffer.from([EIGHT_BYTE_PREFIX, 0, 0, 0, 0, 0, 0, 0, 0]);
    long.writeBigUInt64LE(BigInt(value), 1);
    return long;
  }
  const buffer = Buffer.from([THREE_BYTE_PREFIX, 0, 0, 0]);
  buffer.writeUIntLE(value, 1, 3);
  return buffer;
}

/** Encodes bytes or text as a length-encoded string. @internal */
export function encodeWithLength(value: Buffer | string): Buffer {
  const bytes = typeof value === 'string' ? Buffer.from(value) : value;
  return Buffer.concat([encodeLengthEncodedInteger(bytes.length), bytes]);
}
