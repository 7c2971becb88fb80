/** Reads a payload from front to back. */
export interface ByteReader {
  /** @throws RangeError beyond the end of the payload. */
  take: (size: number) => Buffer;
  takeByte: () => number;
  /** Bytes that begin with their length in the protocol's variable form. */
  takeLengthEncoded: () => Buffer;
}

/** Bytes of the length that follows, by its first byte. */
const LENGTH_SIZES: Record<number, number> = { 0xfc: 2, 0xfd: 3, 0xfe: 8 };

/** Starts reading at an offset. */
export function createByteReader(payload: Buffer, start: number): ByteReader {
  let offset = start;

  function take(size: number): Buffer {
    const end = offset + size;
    if (end > payload.length) throw new RangeError(`payload ends before byte ${end}`);
    const bytes = payload.subarray(offset, end);
    offset = end;
    return bytes;
  }

  function takeLength(): number {
    const first = take(1).readUInt8();
    const size = LENGTH_SIZES[first];
    if (size === undefined) return first;
    const bytes = take(size);
    return size === 8 ? Number(bytes.readBigUInt64LE()) : bytes.readUIntLE(0, size);
  }

  return {
    take,
    takeByte: () => take(1).readUInt8(),
    takeLengthEncoded: () => take(takeLength()),
  };
}
