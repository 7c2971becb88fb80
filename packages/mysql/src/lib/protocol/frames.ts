import { HEADER_BYTES, LARGEST_FRAME } from './constants';

const SEQUENCE_NUMBERS = 256;

/**
 * Puts a payload into frames, each with its length and sequence number.
 *
 * @param sequence - number of the first frame; it wraps at 256.
 * @public
 */
export function toFrames(payload: Buffer, sequence: number): Buffer {
  if (payload.length < LARGEST_FRAME) return toFrame(payload, sequence);
  const frames: Buffer[] = [];
  let offset = 0;
  for (; payload.length - offset >= LARGEST_FRAME; offset += LARGEST_FRAME) {
    frames.push(
      toFrame(payload.subarray(offset, offset + LARGEST_FRAME), sequence + frames.length),
    );
  }
  frames.push(toFrame(payload.subarray(offset), sequence + frames.length));
  return Buffer.concat(frames);
}

function toFrame(payload: Buffer, sequence: number): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUIntLE(payload.length, 0, 3);
  frame.writeUInt8(sequence % SEQUENCE_NUMBERS, 3);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}
