import { HEADER_BYTES } from './constants';
import { getLengthEncodedIntegerSize, readLengthEncodedInteger } from './lengthEncoded';

/**
 * Reads the value of a result set with one row and one column.
 *
 * @param frames - the response without its final packet: column count, definition, EOF, row.
 * @returns the value's bytes, or undefined if the response has any other form.
 * @throws RangeError if the length of the value is truncated.
 * @internal
 */
export function readSingleValue(frames: Buffer[]): Buffer | undefined {
  const response = frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames);
  const payloads = splitPayloads(response);
  const [columnCount, , , row] = payloads;
  if (payloads.length !== 4 || columnCount?.[0] !== 1 || !row || row.length === 0) return undefined;
  const start = getLengthEncodedIntegerSize(row, 0);
  const end = start + readLengthEncodedInteger(row, 0);
  return end === row.length ? row.subarray(start, end) : undefined;
}

function splitPayloads(response: Buffer): Buffer[] {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= response.length) {
    const start = offset + HEADER_BYTES;
    offset = start + response.readUIntLE(offset, 3);
    payloads.push(response.subarray(start, offset));
  }
  return payloads;
}
