import { HEADER_BYTES } from '../protocol/constants';
import { getLengthEncodedSize, readLengthEncoded } from '../protocol/lengthEncoded';

/**
 * Reads the value of a result set with one row and one column.
 *
 * @param frames - the response without its final packet: column count, definition, EOF, row.
 * @returns the value's bytes, or undefined if the response has any other form.
 * @internal
 */
export function readSingleValue(frames: Buffer[]): Buffer | undefined {
  const answer = frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames);
  const payloads = splitPayloads(answer);
  const [columnCount, , , row] = payloads;
  if (payloads.length !== 4 || columnCount?.[0] !== 1 || !row || row.length === 0) return undefined;
  const start = getLengthEncodedSize(row, 0);
  const end = start + readLengthEncoded(row, 0);
  return end === row.length ? row.subarray(start, end) : undefined;
}

function splitPayloads(answer: Buffer): Buffer[] {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= answer.length) {
    const start = offset + HEADER_BYTES;
    offset = start + answer.readUIntLE(offset, 3);
    payloads.push(answer.subarray(start, offset));
  }
  return payloads;
}
