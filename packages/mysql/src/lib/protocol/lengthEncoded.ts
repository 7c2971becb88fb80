const TWO_BYTES = 0xfc;
const THREE_BYTES = 0xfd;
const EIGHT_BYTES = 0xfe;

/** Bytes that the length-encoded number at `offset` takes. @internal */
export function lengthEncodedSize(buffer: Buffer, offset: number): number {
  const sizes: Record<number, number> = { [TWO_BYTES]: 3, [THREE_BYTES]: 4, [EIGHT_BYTES]: 9 };
  return sizes[buffer.readUInt8(offset)] ?? 1;
}

/** Reads the length-encoded number at `offset`; above 2^53 it is inexact. @internal */
export function readLengthEncoded(buffer: Buffer, offset: number): number {
  const first = buffer.readUInt8(offset);
  if (first === TWO_BYTES) return buffer.readUInt16LE(offset + 1);
  if (first === THREE_BYTES) return buffer.readUIntLE(offset + 1, 3);
  if (first === EIGHT_BYTES) return Number(buffer.readBigUInt64LE(offset + 1));
  return first;
}

/** Writes a number below 2^24 in its length-encoded form. @internal */
export function encodeLength(value: number): Buffer {
  if (value < 0xfb) return Buffer.from([value]);
  if (value < 0x1_0000) return Buffer.from([TWO_BYTES, value % 256, Math.floor(value / 256)]);
  const buffer = Buffer.from([THREE_BYTES, 0, 0, 0]);
  buffer.writeUIntLE(value, 1, 3);
  return buffer;
}

/** Writes bytes or text after their length. @internal */
export function encodeWithLength(value: Buffer | string): Buffer {
  const bytes = typeof value === 'string' ? Buffer.from(value) : value;
  return Buffer.concat([encodeLength(bytes.length), bytes]);
}
